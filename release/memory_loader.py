"""Start of the one-file program: loads extension modules from the archive.

A shared object cannot be loaded from inside an archive, and the hosts have no
disks to unpack it to. It is copied into an anonymous memory file and loaded
through ``/proc/self/fd``. The shared libraries that extension modules link
to are loaded first, so that the dynamic linker finds them by their names.

This module runs before any extension module that is not built into the
interpreter can be imported, so it imports built-in modules only.
"""

import _frozen_importlib
import _frozen_importlib_external
import posix
import sys

__all__ = ['ArchiveExtensionFinder', 'main']

_NATIVE_PREFIX = 'native/'
_LIBRARY_PREFIX = 'libraries/'
_SUFFIX = '.so'
_RTLD_NOW = 2
_RTLD_GLOBAL = 0x100


class ArchiveExtensionFinder:
    """Finds extension modules in the archive.

    :param archive: zip importer of the running executable.
    """

    def __init__(self, archive) -> None:
        self._archive = archive
        self._entries_by_module = {
            name[len(_NATIVE_PREFIX) : -len(_SUFFIX)]: name
            for name in archive._files
            if name.startswith(_NATIVE_PREFIX)
        }

    def find_spec(self, name, path=None, target=None):
        """Return the spec of an extension module, or None."""
        entry = self._entries_by_module.get(name)
        if entry is None:
            return None
        location = memory_file(name, read(self._archive, entry))
        loader = _frozen_importlib_external.ExtensionFileLoader(name, location)
        return _frozen_importlib.ModuleSpec(name, loader, origin=location)


def read(archive, entry: str) -> bytes:
    """Return the data of an archive entry."""
    return archive.get_data(f'{archive.archive}/{entry}')


def memory_file(name: str, data: bytes) -> str:
    """Return the path of an anonymous memory file with the data.

    The descriptor stays open as long as the process runs: closing it would
    let a later file get the same path, which the dynamic linker compares.
    """
    descriptor = posix.memfd_create(name, posix.MFD_CLOEXEC)
    view = memoryview(data)
    while view:
        view = view[posix.write(descriptor, view) :]
    return f'/proc/self/fd/{descriptor}'


def load_libraries(archive) -> None:
    """Load the bundled shared libraries in the order of their names."""
    entries = sorted(
        name for name in archive._files if name.startswith(_LIBRARY_PREFIX)
    )
    if not entries:
        return
    import _ctypes

    for entry in entries:
        location = memory_file(entry.rsplit('/', 1)[1], read(archive, entry))
        _ctypes.dlopen(location, _RTLD_NOW | _RTLD_GLOBAL)


def main() -> None:
    """Install the finder and run the program."""
    import zipimport

    archive = zipimport.zipimporter(sys.path[0])
    sys.meta_path.insert(0, ArchiveExtensionFinder(archive))
    load_libraries(archive)
    from walnutport.cli import main as cli

    sys.argv[0] = 'walnutport'
    cli.main()


if __name__ == '__main__':
    main()
