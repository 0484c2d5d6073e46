/**
 * Checks that invalid settings and configurations are refused with an error
 * that names the file, the key and the allowed values, and that a node with
 * such settings exits before it listens.
 */
import {rmSync} from 'node:fs';
import {createConnection} from 'node:net';
import {resolve} from 'node:path';
import {describe, expect, it} from 'vitest';
import {ChildProgram} from '../measure/child-program.js';
import {findFreePorts} from '../measure/free-ports.js';
import {writeTestFile} from './control-command.js';

const NODE_PROGRAM = resolve('dist/bin/node.js');
const CHECK_PROGRAM = resolve('dist/bin/check.js');
const CONTROL_PROGRAM = resolve('dist/bin/ctl.js');

interface SettingsCase {
  readonly name: string;
  /** Text of the valid settings to replace; `by` is appended if absent. */
  readonly replace?: string;
  readonly by: string;
  /** Texts that the error must contain, in addition to the file. */
  readonly names: readonly string[];
}

const GOOD_SETTINGS = `
[node]
id = "desk-0"
data_centre = "arusha"
caller_address = "127.0.0.1:PORT"
peer_address = "127.0.0.1:1"
[platform_log]
address = "127.0.0.1:2"
name = "kona"
time_limit = "2s"
[membership]
probe_interval = "500ms"
[configuration.profiles.desk]
time_limit = "2s"
[configuration.services.kona-desk]
profile = "desk"
`;

const CASES: readonly SettingsCase[] = [
  {
    name: 'unknown key',
    replace: 'probe_interval',
    by: 'probe_intervall',
    names: [
      'membership',
      'unknown key probe_intervall',
      'allowed: seeds, probe_interval',
    ],
  },
  {
    name: 'unknown section',
    by: '[memberships]',
    names: ['unknown key memberships', 'allowed: node, platform_log'],
  },
  {
    name: 'missing key',
    replace: 'id = "desk-0"',
    by: '',
    names: ['node.id: missing', 'allowed: a string'],
  },
  {
    name: 'wrong type',
    replace: '"arusha"',
    by: '7',
    names: ['node.data_centre: wrong type', 'allowed: a string'],
  },
  {
    name: 'number without a unit',
    replace: '"500ms"',
    by: '500',
    names: ['membership.probe_interval', 'wrong type', 'allowed: a string'],
  },
  {
    name: 'wrong unit',
    replace: '"500ms"',
    by: '"500KiB"',
    names: [
      'membership.probe_interval',
      'allowed: a number with ms, s, m or h',
    ],
  },
  {
    name: 'out of range',
    replace: '"500ms"',
    by: '"5h"',
    names: ['membership.probe_interval', 'allowed: 20ms to 60000ms'],
  },
  {
    name: 'host name in place of an IP number',
    replace: '"127.0.0.1:2"',
    by: '"localhost:2"',
    names: ['platform_log.address', 'allowed: an IP number and a port'],
  },
  {
    name: 'port out of range',
    replace: '"127.0.0.1:2"',
    by: '"127.0.0.1:70000"',
    names: ['platform_log.address', '0 to 65535'],
  },
  {
    name: 'malformed name',
    replace: '"desk-0"',
    by: '"Desk 0"',
    names: ['node.id', 'allowed: a lower case letter'],
  },
  {
    name: 'service without profile',
    replace: 'profile = "desk"',
    by: 'profile = "desc"',
    names: [
      'configuration.services.kona-desk.profile',
      'no profile "desc"',
      'allowed: desk',
    ],
  },
  {
    name: 'contradictory values',
    by: '[configuration.profiles.slow]\ntime_limit = "20s"\nmax_time_limit = "5s"',
    names: [
      'configuration.profiles.slow.time_limit',
      'may not exceed max_time_limit',
    ],
  },
  {
    name: 'unknown policy',
    by: '[configuration.profiles.odd]\nbalancing = "luck"',
    names: ['configuration.profiles.odd.balancing', 'adaptive', 'round-robin'],
  },
  {
    name: 'unknown key of a profile',
    by: '[configuration.profiles.odd.limits]\nmax_bodi = "1MiB"',
    names: [
      'configuration.profiles.odd.limits',
      'unknown key max_bodi',
      'allowed: max_body',
    ],
  },
  {
    name: 'share out of range',
    by: '[configuration.profiles.odd.retries]\nbudget_percent = 101',
    names: ['configuration.profiles.odd.retries.budget_percent', '100'],
  },
  {
    name: 'not TOML',
    by: 'this is = = not TOML',
    names: ['line 17'],
  },
];

describe('a node refuses settings that cannot be used', () => {
  it.each(CASES)('$name', async ({replace, by, names}) => {
    const [port] = await findFreePorts(1);
    const good = GOOD_SETTINGS.replace('PORT', String(port));
    const text =
      replace === undefined ? `${good}${by}\n` : good.replace(replace, by);
    expect(text).not.toBe(good);
    const file = writeTestFile(text);
    const node = new ChildProgram(NODE_PROGRAM, ['--settings', file]);
    const check = new ChildProgram(CHECK_PROGRAM, ['node', file]);
    expect(await node.exited).toBe(2);
    expect(await check.exited).toBe(1);
    for (const part of [file, ...names]) {
      expect(node.output).toContain(part);
      expect(check.output).toContain(part);
    }
    expect(await isListening(port!)).toBe(false);
    rmSync(file);
  });

  it('and accepts the settings that the cases modify', async () => {
    const file = writeTestFile(GOOD_SETTINGS.replace('PORT', '3'));
    const check = new ChildProgram(CHECK_PROGRAM, ['node', file]);
    expect(await check.exited).toBe(0);
    rmSync(file);
  });
});

interface ProgramCase {
  readonly name: string;
  readonly program: string;
  readonly args: readonly string[];
  readonly exitCode: number;
  readonly output: string;
}

describe('the programs print usage, version and errors', () => {
  const programs = {
    'sequoiaspool-node': NODE_PROGRAM,
    'sequoiaspool-ctl': CONTROL_PROGRAM,
    'sequoiaspool-check': CHECK_PROGRAM,
  };
  const cases = Object.entries(programs).flatMap(
    ([name, program]): ProgramCase[] => [
      {name, program, args: ['--help'], exitCode: 0, output: name},
      {name, program, args: ['--version'], exitCode: 0, output: '0.1.0'},
    ],
  );
  const faults: ProgramCase[] = [
    {
      name: 'sequoiaspool-ctl',
      program: CONTROL_PROGRAM,
      args: ['publisch'],
      exitCode: 2,
      output: 'unknown command',
    },
    {
      name: 'sequoiaspool-ctl',
      program: CONTROL_PROGRAM,
      args: ['status'],
      exitCode: 2,
      output: 'platform_log.address: missing',
    },
    {
      name: 'sequoiaspool-check',
      program: CHECK_PROGRAM,
      args: ['node', '/no/such/file'],
      exitCode: 1,
      output: '/no/such/file: cannot be read',
    },
  ];
  it.each([...cases, ...faults])(
    '$name $args',
    async ({program, args, exitCode, output}) => {
      const child = new ChildProgram(program, args);
      expect(await child.exited).toBe(exitCode);
      expect(child.output).toContain(output);
    },
  );
});

function isListening(port: number): Promise<boolean> {
  return new Promise(resolve => {
    const socket = createConnection(port, '127.0.0.1');
    socket.once('connect', () => {
      socket.destroy();
      resolve(true);
    });
    socket.once('error', () => resolve(false));
  });
}
