#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. They are Python
# programs: the project's own store and the relay in front of it need the packages of the
# deploy file's build, the others nothing else. Each one is compiled and imported once.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH=target/deps
for part in lib2 desk2 engine2 cut2 view2 streams2 fleet3 server3 proxy3 rig_2; do
    python3 -m py_compile "review/$part.py" || exit 1
done
python3 -c "import standins.rows, review.lib2, review.desk2, review.engine2, review.cut2, review.view2, review.streams2, review.rig_2"
python3 -c "import sys; sys.path.insert(0, 'review'); import fleet3, server3, proxy3"
