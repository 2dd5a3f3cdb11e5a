"""Entry point of the executable: loads extension modules from the archive.

The dynamic linker cannot load a shared object from inside an archive, and the
hosts have no disks to extract it to. It is copied into an anonymous memory
file and loaded through ``/proc/self/fd``. The shared libraries that extension
modules depend on are loaded first, so that the dynamic linker finds them by
name.

This module runs before any extension module that is not built into the
interpreter can be imported, so it imports built-in modules only.
"""

import _frozen_importlib
import _frozen_importlib_external
import posix
import sys

__all__ = ['ArchiveExtensionFinder', 'main']

_EXTENSION_PREFIX = 'native/'
_LIBRARY_PREFIX = 'libraries/'
_SUFFIX = '.so'
_RTLD_NOW = 2
_RTLD_GLOBAL = 0x100


class ArchiveExtensionFinder:
    """Meta path finder for the extension modules in the archive.

    :param archive: zip importer of the running executable.
    """

    def __init__(self, archive) -> None:
        self._archive = archive
        self._entries_by_module = {
            name[len(_EXTENSION_PREFIX) : -len(_SUFFIX)]: name
            for name in archive._files
            if name.startswith(_EXTENSION_PREFIX)
        }

    def find_spec(self, name, path=None, target=None):
        """Return the spec of an extension module, or None."""
        entry = self._entries_by_module.get(name)
        if entry is None:
            return None
        memory_path = create_memory_file(
            name, read_entry(self._archive, entry)
        )
        loader = _frozen_importlib_external.ExtensionFileLoader(
            name, memory_path
        )
        return _frozen_importlib.ModuleSpec(name, loader, origin=memory_path)


def read_entry(archive, entry: str) -> bytes:
    """Return the data of an archive entry."""
    return archive.get_data(f'{archive.archive}/{entry}')


def create_memory_file(name: str, data: bytes) -> str:
    """Create an anonymous memory file with the data and return its path.

    The descriptor stays open until the process ends. If it were closed, a
    later file could get the same path, and the dynamic linker takes files of
    equal paths for the same library.
    """
    descriptor = posix.memfd_create(name, posix.MFD_CLOEXEC)
    remaining = memoryview(data)
    while remaining:
        remaining = remaining[posix.write(descriptor, remaining) :]
    return f'/proc/self/fd/{descriptor}'


def load_libraries(archive) -> None:
    """Load the bundled shared libraries in order of their names."""
    entries = sorted(
        name for name in archive._files if name.startswith(_LIBRARY_PREFIX)
    )
    if not entries:
        return
    import _ctypes

    for entry in entries:
        memory_path = create_memory_file(
            entry.rsplit('/', 1)[1], read_entry(archive, entry)
        )
        _ctypes.dlopen(memory_path, _RTLD_NOW | _RTLD_GLOBAL)


def main() -> None:
    """Install the finder, load the libraries and run the program."""
    import zipimport

    archive = zipimport.zipimporter(sys.path[0])
    sys.meta_path.insert(0, ArchiveExtensionFinder(archive))
    load_libraries(archive)
    from walnutport.cli import main as cli

    sys.argv[0] = 'walnutport'
    cli.main()


if __name__ == '__main__':
    main()
