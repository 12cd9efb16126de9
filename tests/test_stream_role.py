"""The entry point of the byte-stream daemons, as a process."""

import os
import signal
import subprocess
import sys


class TestReloadSignalDuringStart:
    def test_does_not_end_the_process(self, tmp_path):
        settings = tmp_path / "settings.ini"
        os.mkfifo(settings)
        command = [sys.executable, "-m", "heatheryoke.daemons.stream_role", "agent", str(settings)]
        process = subprocess.Popen(command, stdout=subprocess.DEVNULL)
        try:
            with settings.open("w") as writer:  # returns when the process opens it to read
                process.send_signal(signal.SIGHUP)
                writer.write("[process]\n")
            assert process.wait(timeout=30) == 2
        finally:
            process.kill()
            process.wait()
