/**
 * Output and exit code of each command of sequoiaspool-ctl.
 */
import {rmSync} from 'node:fs';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {waitFor} from '../measure/wait-for.js';
import type {CommandResult} from './control-command.js';
import {
  runControl,
  runControlCommand,
  writeTestFile,
} from './control-command.js';
import type {Fixture} from './deployment-fixture.js';
import {startFixture} from './deployment-fixture.js';

let fixture: Fixture;

beforeAll(async () => {
  fixture = await startFixture({workers: 2});
});

afterAll(async () => {
  await fixture?.stop();
});

interface CommandCase {
  readonly name: string;
  readonly args: readonly string[];
  readonly exitCode: number;
  /** Text that its output contains. */
  readonly writes: string;
}

describe('each command in turn', () => {
  const startMove = ['move', 'start', 'kona-desk', '--to', 'v2'];
  const cases: CommandCase[] = [
    {
      name: 'no move yet',
      args: ['move', 'status', 'kona-desk'],
      exitCode: 7,
      writes: 'no move of kona-desk',
    },
    {
      name: 'a move from a version that is not configured',
      args: [...startMove, '--by', '10m'],
      exitCode: 2,
      writes: 'name it with --from',
    },
    {
      name: 'a move by a time that has passed',
      args: [...startMove, '--from', 'v1', '--by', '2020-01-01T00:00:00Z'],
      exitCode: 2,
      writes: 'is not a time in the future; allowed',
    },
    {
      name: 'a move without a time',
      args: [...startMove, '--from', 'v1'],
      exitCode: 2,
      writes: '--by',
    },
    {
      name: 'a move',
      args: [...startMove, '--from', 'v1', '--by', '10m'],
      exitCode: 0,
      writes: 'in force at 2 of 2 nodes',
    },
    {
      name: 'a second move while one runs',
      args: ['move', 'start', 'kona-desk', '--to', 'v3', '--by', '10m'],
      exitCode: 3,
      writes: 'superseded: move kona-desk v1 to v2: running',
    },
    {
      name: 'its status',
      args: ['move', 'status', 'kona-desk'],
      exitCode: 0,
      writes: 'v1 to v2: running',
    },
    {
      name: 'taking it back',
      args: ['move', 'take-back', 'kona-desk', '--why', 'phones ring'],
      exitCode: 0,
      writes: 'taken back',
    },
    {
      name: 'taking it back again',
      args: ['move', 'take-back', 'kona-desk'],
      exitCode: 3,
      writes: 'nothing was changed',
    },
    {
      name: 'following one that was taken back',
      args: ['move', 'status', 'kona-desk', '--follow'],
      exitCode: 6,
      writes: 'evidence: phones ring',
    },
    {
      name: 'status',
      args: ['status'],
      exitCode: 0,
      writes: 'data centres out: none',
    },
    {
      name: 'a data centre that is in already',
      args: ['data-centre', 'in', 'arusha'],
      exitCode: 0,
      writes: 'is in already',
    },
    {
      name: 'an unknown request',
      args: ['explain', 'no-such-request'],
      exitCode: 7,
      writes: 'no node that was asked knows',
    },
    {
      name: 'nothing to recover',
      args: ['recover'],
      exitCode: 0,
      writes: 'nothing is missing',
    },
    {
      name: 'a file with faults',
      args: ['publish', '/no/such/file'],
      exitCode: 2,
      writes: 'cannot be read',
    },
  ];
  it.each(cases)('$name', async ({args, exitCode, writes}) => {
    const end = await runControl(fixture, args);
    expect(end.output).toContain(writes);
    expect(end.exitCode).toBe(exitCode);
  });

  it('an outage of the log changes nothing and is reported', async () => {
    fixture.log.control.isDown = true;
    const args = ['--time-limit', '500ms', 'data-centre', 'out', 'arusha'];
    const end = await runControl(fixture, args);
    fixture.log.control.isDown = false;
    expect(end.exitCode).toBe(5);
    expect(end.output).toContain('platform log unavailable');
  });

  it('a settings file in place of flags, and text for people', async () => {
    const {logAddress, name} = fixture.deployment.spec;
    const nodes = fixture.deployment.hosts.map(host => host.callerAddress);
    const file = writeTestFile(
      [
        `nodes = ${JSON.stringify(nodes)}`,
        'author = "amina"',
        '[platform_log]',
        `address = "${logAddress}"`,
        `name = "${name}"`,
      ].join('\n'),
    );
    const configuration = writeTestFile(
      '[profiles.desk]\n[services.kona-desk]\nprofile = "desk"\n',
    );
    const end = await runControlCommand(['-s', file, 'publish', configuration]);
    expect(end.output).toContain('configuration 1 in force at 2 of 2 nodes');
    expect(end.exitCode).toBe(0);
    const records = fixture.log.listRecords(name).join('\n');
    expect(records).toContain('"author":"amina"');
    rmSync(file);
    rmSync(configuration);
  });

  // Guards against a command that doesn't reach the node's explanation, or that
  // sends what it explains.
  it('a route is explained by one node, without a request', async () => {
    const {callerAddress} = fixture.deployment.findHost('desk-0');
    const countServed = (): number =>
      [...fixture.upstreams.values()].reduce(
        (total, upstream) => total + upstream.stats.requests,
        0,
      );
    const before = countServed();
    const end = await runControlCommand([
      ...['--json', '--node', callerAddress, '--time-limit', '900ms'],
      ...['route', 'kona-desk', '--rank', '2', '--target', '300ms'],
    ]);
    expect(end.exitCode).toBe(0);
    expect(end.result).toMatchObject({
      node: callerAddress,
      explanation: {
        service: 'kona-desk',
        dataCentre: 'arusha',
        rank: 2,
        timeLimitMs: 900,
        targetMs: 300,
        refusal: null,
      },
    });
    expect(end.result['text']).toContain('desk-1');
    expect(countServed()).toBe(before);
  });

  it.each([
    {name: 'an unknown service', args: ['nowhere'], exitCode: 7},
    {name: 'neither service nor host', args: [], exitCode: 2},
    {name: 'a bad rank', args: ['kona-desk', '--rank', 'high'], exitCode: 2},
    {name: 'a host without a route', args: ['--host', 'a.test'], exitCode: 7},
  ])('a route of $name is refused', async ({args, exitCode}) => {
    const end = await runControl(fixture, ['route', ...args]);
    expect(end.exitCode).toBe(exitCode);
  });

  it('a request is explained by the node that took it', async () => {
    const {callerAddress} = fixture.deployment.findHost('desk-0');
    await fetch(`http://${callerAddress}/kona-desk/tickets/1`, {
      headers: {'x-request-id': 'lookup-1'},
    });
    let end: CommandResult | undefined;
    await waitFor('the explanation', async () => {
      end = await runControl(fixture, ['explain', 'lookup-1']);
      return end.exitCode === 0;
    });
    expect(end?.result).toMatchObject({requestId: 'lookup-1'});
  });
});
