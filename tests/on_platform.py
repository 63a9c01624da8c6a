"""Makes the platform's adapter importable; has examples of its messages."""

import copy
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
FOLDER = ROOT / 'platform'
if str(FOLDER) not in sys.path:
    sys.path.append(str(FOLDER))

MACHINE = {
    'nodeName': 'front-a-1',
    'ip': '10.1.0.38',
    'zone': 'hall-a',
    'region': 'here',
    'zones': {'hall-a': 'here', 'hall-b': 'here'},
    'listen': {'front': '10.1.0.38:8149', 'ready': '10.1.0.38:8141'},
    'internalPorts': [7380, 7395],
    'seeds': ['10.1.0.40:8144', '10.2.0.42:8144'],
    'bootstrap': True,
    'limits': {'maxFds': 4100, 'memoryMb': 150},
    'dataDir': None,
    'heartbeatMs': 1200,
    'bounds': {'graceS': 8, 'configApplyMs': 2000, 'leaseMs': 3000},
    'somethingNew': {'of': 'later'},
}

CONFIGURATION = {
    'version': 7,
    'routes': [
        {
            'name': 'r-stream',
            'host': 'one.example',
            'pathPrefix': '/s/',
            'kind': 'streaming',
            'timeoutMs': 14000,
            'targetLatencyMs': 900,
            'priority': 1,
            'service': 'model-a',
            'maxAttempts': 2,
            'sessionAffinity': True,
            'resumable': True,
            'gapAimMs': 300,
        },
        {
            'name': 'r-split',
            'host': 'one.example',
            'pathPrefix': '/p/',
            'kind': 'unsafe',
            'timeoutMs': 3000,
            'targetLatencyMs': 400,
            'priority': 2,
            'backends': [
                {'service': 'plain-a', 'weight': 90},
                {'service': 'plain-b', 'weight': 10},
            ],
            'maxAttempts': 1,
        },
    ],
    'services': [
        {
            'name': 'model-a',
            'healthPath': '/health',
            'engine': {
                'slots': 64,
                'kvCapacityTokens': 39418,
                'kvTokenBytes': 327680,
                'linkMbps': 3400000.0,
                'handleTtlS': 0.5,
            },
        },
        {'name': 'plain-a', 'healthPath': '/health'},
        {'name': 'plain-b', 'healthPath': '/health'},
    ],
    'limits': {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 4194304,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    },
}

HEARTBEAT = {
    'service': 'model-a',
    'address': '10.128.0.9:8080',
    'zone': 'hall-a',
    'version': 'v1',
    'slots': 64,
    'state': 'ready',
    'coldRemainingMs': 0,
    'stage': 'decode',
    'sequence': 4,
}


def changed(message, path, value):
    """Return a copy of a message with one field changed.

    :param path: the names and indices that lead to the field.
    :param value: the new value; ``None`` removes the field.
    """
    copied = copy.deepcopy(message)
    target = copied
    for step in path[:-1]:
        target = target[step]
    if value is None:
        del target[path[-1]]
    else:
        target[path[-1]] = value
    return copied
