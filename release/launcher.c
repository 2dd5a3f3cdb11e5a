/*
 * Launcher: embeds the Python interpreter and runs the archive appended to it.
 *
 * The program starts no other process and writes no file. Python modules are
 * imported from the zip archive at the end of this executable, and
 * release/memory_loader.py loads extension modules from anonymous memory
 * files.
 */
#include <Python.h>

#include <unistd.h>

static int handle_init_error(PyStatus status, PyConfig *config)
{
    PyConfig_Clear(config);
    if (PyStatus_IsExit(status)) {
        return status.exitcode;
    }
    Py_ExitStatusException(status);
    return 1;
}

int main(int argc, char **argv)
{
    char path[4096];
    ssize_t length = readlink("/proc/self/exe", path, sizeof(path) - 1);
    if (length < 0) {
        perror("walnutport: cannot read the link /proc/self/exe");
        return 1;
    }
    path[length] = '\0';

    PyConfig config;
    PyConfig_InitIsolatedConfig(&config);
    config.write_bytecode = 0;
    config.site_import = 0;
    config.parse_argv = 0;
    config.install_signal_handlers = 1;
    config.module_search_paths_set = 1;

    wchar_t *archive = Py_DecodeLocale(path, NULL);
    if (archive == NULL) {
        fputs("walnutport: cannot decode the executable path\n", stderr);
        return 1;
    }
    PyStatus status = PyWideStringList_Append(
        &config.module_search_paths, archive);
    if (!PyStatus_Exception(status)) {
        status = PyConfig_SetString(&config, &config.executable, archive);
    }
    if (!PyStatus_Exception(status)) {
        status = PyConfig_SetString(&config, &config.run_module,
                                    L"memory_loader");
    }
    if (!PyStatus_Exception(status)) {
        status = PyConfig_SetBytesArgv(&config, argc, argv);
    }
    if (!PyStatus_Exception(status)) {
        status = Py_InitializeFromConfig(&config);
    }
    PyMem_RawFree(archive);
    if (PyStatus_Exception(status)) {
        return handle_init_error(status, &config);
    }
    PyConfig_Clear(&config);
    return Py_RunMain();
}
