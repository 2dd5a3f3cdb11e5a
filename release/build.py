"""Builds ``dist/walnutport``, a single executable with all dependencies.

The executable is ``release/launcher.c`` linked with the static library of
the running interpreter, followed by a zip archive of the standard library,
the dependencies and the package. Archive entries are not compressed, as the
module that decompresses them is itself an entry.
"""

import compileall
import pathlib
import re
import shutil
import subprocess
import sys
import sysconfig
import zipfile

__all__ = ['main']

_ROOT = pathlib.Path(__file__).parent.parent
_BUILD_FOLDER = _ROOT / 'build' / 'binary'
_OUTPUT = _ROOT / 'dist' / 'walnutport'

# Modules that the server does not need.
_EXCLUDED_MODULES = frozenset(
    {
        '__pycache__',
        'ensurepip',
        'idlelib',
        'lib2to3',
        'setuptools',
        'pkg_resources',
        'distutils',
        '_distutils_hack',
        'pydoc_data',
        'site-packages',
        'test',
        'tests',
        'tkinter',
        'turtledemo',
        'venv',
    }
)
_EXCLUDED_EXTENSION_MODULES = re.compile(
    r'_test|_xx|xx|_tkinter|_curses|_sqlite3|_dbm|_gdbm|readline|nis|'
    r'ossaudiodev|_ctypes_test'
)
_EXCLUDED_SUFFIXES = ('.h', '.c', '.pyx', '.pxd', '.a', '.exe')
# The C library and the dynamic linker, which every host has.
_SYSTEM_LIBRARIES = re.compile(
    r'linux-vdso|ld-linux|lib(c|m|dl|pthread|rt|util|resolv)\.so'
)
_ENTRY_TIME = (2020, 1, 1, 0, 0, 0)


def main() -> int:
    """Build the executable and return the exit status."""
    shutil.rmtree(_BUILD_FOLDER, ignore_errors=True)
    tree = _BUILD_FOLDER / 'tree'
    tree.mkdir(parents=True)
    _OUTPUT.parent.mkdir(exist_ok=True)
    _copy_standard_library(tree)
    _install_dependencies(tree)
    _copy_tree(_ROOT / 'walnutport', tree / 'walnutport')
    shutil.copy(_ROOT / 'release' / 'memory_loader.py', tree)
    _add_package_initializers(tree)
    extension_modules = _move_extension_modules(tree)
    _bundle_libraries(extension_modules, tree)
    compileall.compile_dir(
        tree, quiet=2, legacy=True, optimize=0, stripdir=str(tree)
    )
    launcher = _compile_launcher()
    archive = _write_archive(tree)
    _OUTPUT.write_bytes(launcher.read_bytes() + archive.read_bytes())
    _OUTPUT.chmod(0o755)
    size_mb = _OUTPUT.stat().st_size / 1e6
    sys.stdout.write(f'{_OUTPUT.relative_to(_ROOT)}: {size_mb:.1f} MB\n')
    return 0


def _copy_standard_library(tree: pathlib.Path) -> None:
    source = pathlib.Path(sysconfig.get_path('stdlib'))
    for path in sorted(source.iterdir()):
        if path.name in _EXCLUDED_MODULES or path.name.startswith('config-'):
            continue
        if path.name == 'lib-dynload':
            for extension_module in sorted(path.glob('*.so')):
                if not _EXCLUDED_EXTENSION_MODULES.match(
                    extension_module.name
                ):
                    shutil.copy(extension_module, tree)
        elif path.is_dir():
            _copy_tree(path, tree / path.name)
        elif path.suffix == '.py':
            shutil.copy(path, tree)


def _install_dependencies(tree: pathlib.Path) -> None:
    subprocess.run(
        [
            *(sys.executable, '-m', 'pip', 'install', '--quiet'),
            *('--no-compile', '--target', str(tree)),
            *('-r', str(_ROOT / 'requirements.txt')),
        ],
        check=True,
    )
    shutil.rmtree(tree / 'bin', ignore_errors=True)
    for name in _EXCLUDED_MODULES:
        for found in sorted(tree.rglob(name)):
            shutil.rmtree(found, ignore_errors=True)


def _copy_tree(source: pathlib.Path, target: pathlib.Path) -> None:
    shutil.copytree(
        source,
        target,
        ignore=shutil.ignore_patterns(*_EXCLUDED_MODULES),
        dirs_exist_ok=True,
    )


def _add_package_initializers(tree: pathlib.Path) -> None:
    """Add ``__init__.py`` to each folder of modules that lacks one.

    The zip importer does not find packages without one.
    """
    for path in sorted(tree.rglob('*.py')):
        folder = path.parent
        while folder != tree:
            (folder / '__init__.py').touch()
            folder = folder.parent


def _move_extension_modules(tree: pathlib.Path) -> list[pathlib.Path]:
    """Move extension modules to ``native``, named after their module."""
    folder = tree / 'native'
    folder.mkdir()
    extension_modules = []
    for path in sorted(tree.rglob('*.so')):
        parts = path.relative_to(tree).with_suffix('').parts
        module = '.'.join((*parts[:-1], parts[-1].partition('.')[0]))
        extension_modules.append(path.rename(folder / f'{module}.so'))
    return extension_modules


def _bundle_libraries(
    extension_modules: list[pathlib.Path], tree: pathlib.Path
) -> None:
    """Copy the shared libraries that extension modules depend on.

    Their names start with a sequence number, as a library must be loaded
    after its own dependencies.
    """
    folder = tree / 'libraries'
    folder.mkdir()
    path_by_library: dict[str, pathlib.Path] = {}
    for path in extension_modules:
        _collect_libraries(path, path_by_library)
    for number, (name, path) in enumerate(path_by_library.items()):
        shutil.copy(path, folder / f'{number:02d}-{name}')


def _collect_libraries(
    path: pathlib.Path, path_by_library: dict[str, pathlib.Path]
) -> None:
    ldd_result = subprocess.run(
        ['ldd', str(path)], check=True, capture_output=True, text=True
    )
    for match in re.finditer(r'(\S+) => (/\S+)', ldd_result.stdout):
        name, location = match.groups()
        if name in path_by_library or _SYSTEM_LIBRARIES.match(name):
            continue
        _collect_libraries(pathlib.Path(location), path_by_library)
        path_by_library[name] = pathlib.Path(location)


def _compile_launcher() -> pathlib.Path:
    output = _BUILD_FOLDER / 'launcher'
    config_vars = sysconfig.get_config_vars()
    version = sysconfig.get_python_version()
    library = pathlib.Path(config_vars['LIBPL']) / f'libpython{version}.a'
    if not library.exists():
        sys.exit(
            f'{library} is missing: the interpreter has no static library'
        )
    subprocess.run(
        [
            *('gcc', '-O2', '-rdynamic', '-o', str(output)),
            f'-I{sysconfig.get_path("include")}',
            str(_ROOT / 'release' / 'launcher.c'),
            *('-Wl,--whole-archive', str(library), '-Wl,--no-whole-archive'),
            *config_vars['LIBS'].split(),
            *config_vars['SYSLIBS'].split(),
        ],
        check=True,
    )
    subprocess.run(['strip', '--strip-debug', str(output)], check=True)
    return output


def _write_archive(tree: pathlib.Path) -> pathlib.Path:
    output = _BUILD_FOLDER / 'archive.zip'
    with zipfile.ZipFile(output, 'w', zipfile.ZIP_STORED) as archive:
        for path in sorted(tree.rglob('*')):
            if path.is_dir() or path.suffix in _EXCLUDED_SUFFIXES:
                continue
            # Byte code suffices, and leaving out the source halves the size.
            if path.suffix == '.py' and path.with_suffix('.pyc').exists():
                continue
            info = zipfile.ZipInfo(str(path.relative_to(tree)), _ENTRY_TIME)
            archive.writestr(info, path.read_bytes())
    return output


if __name__ == '__main__':
    sys.exit(main())
