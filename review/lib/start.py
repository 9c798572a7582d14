"""Runs a case; whatever keeps its script from running ends with exit code 2."""
import os
import runpy
import sys
import traceback

CANNOT_RUN = 2

try:
    runpy.run_path(os.path.join(sys.argv[1], "case.py"), run_name="__main__")
except BaseException:
    traceback.print_exc()
os._exit(CANNOT_RUN)
