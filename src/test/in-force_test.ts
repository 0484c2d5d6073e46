/**
 * A configuration that the log has accepted must take effect at every node
 * within seconds: also when the log goes down after accepting it, at nodes that
 * start while the log is down, and at a node that was frozen. Runs real node
 * processes and the real operators' command.
 */
import {rmSync} from 'node:fs';
import {afterEach, describe, expect, it} from 'vitest';
import type {Host} from '../measure/local-deployment.js';
import {waitFor} from '../measure/wait-for.js';
import type {LogRecord} from '../protocol/records.js';
import {PeerClients} from '../transport/peer-client.js';
import {StateCalls} from '../transport/state-service.js';
import type {CommandResult} from './control-command.js';
import {runControl, writeTestFile} from './control-command.js';
import type {Fixture, FixtureOptions} from './deployment-fixture.js';
import {DEFAULT_CONFIGURATION, startFixture} from './deployment-fixture.js';

const IN_FORCE_TIMEOUT_MS = 5000;
const PEER_TIMEOUT_MS = 5000;
/** More records than a node keeps for its peers. */
const MORE_THAN_KEPT_RECORDS = 600;
const LOG = 'kona';

let fixture: Fixture;
const files: string[] = [];

async function start(options: FixtureOptions = {}): Promise<void> {
  fixture = await startFixture({workers: 4, ...options});
}

function writeConfiguration(service: string): string {
  const profile = 'profile = "desk"';
  const file = writeTestFile(
    [
      ...['[profiles.desk]', '[services.kona-desk]', profile],
      ...[`[services.${service}]`, profile],
    ].join('\n'),
  );
  files.push(file);
  return file;
}

function publish(service = 'kona-archive'): Promise<CommandResult> {
  return runControl(fixture, ['publish', writeConfiguration(service)]);
}

interface ReportedState {
  readonly version: number;
  readonly nextOffset: number;
  readonly configurationNumber: number;
  readonly malformedCount: number;
}

async function readState(host: Host): Promise<ReportedState> {
  const status = (await host.readStatus()) as unknown as {
    state: ReportedState;
  };
  return status.state;
}

/** Waits until each host has the configuration; returns the elapsed time. */
async function waitForConfiguration(
  hosts: readonly Host[],
  number: number,
): Promise<number> {
  const startedAt = performance.now();
  await waitFor(`configuration ${number} at all nodes`, async () => {
    const states = await Promise.all(hosts.map(readState));
    return states.every(state => state.configurationNumber === number);
  });
  return performance.now() - startedAt;
}

/**
 * Waits until each host has folded at least up to an offset. Nodes append
 * records of their own, so it may be further.
 */
async function waitForOffset(
  hosts: readonly Host[],
  offset: number,
): Promise<void> {
  await waitFor(`offset ${offset} at all nodes`, async () => {
    const states = await Promise.all(hosts.map(readState));
    return states.every(state => state.nextOffset >= offset);
  });
}

function buildConfigurationRecord(id: string, buildsOn: number): LogRecord {
  return {
    kind: 'configuration',
    id,
    author: 'test',
    writtenAtMs: 1,
    buildsOn,
    configuration: DEFAULT_CONFIGURATION,
  };
}

/** Pushes a configuration record to one node as if the log had accepted it. */
async function pushConfiguration(hostId: string): Promise<void> {
  const peers = new PeerClients();
  const calls = new StateCalls(peers, PEER_TIMEOUT_MS);
  const {peerAddress} = fixture.deployment.findHost(hostId);
  const added = JSON.stringify(buildConfigurationRecord('r1', 0));
  const records = [...fixture.log.listRecords(LOG), added];
  await calls.pushRecords(
    peerAddress,
    records.map((data, offset) => ({offset, data})),
  );
  peers.close();
}

/** Builds a record that is accepted and changes nothing for callers. */
function buildFiller(index: number): string {
  const record: LogRecord = {
    kind: 'join',
    id: `filler-${index}`,
    author: 'test',
    writtenAtMs: 1,
    buildsOn: 0,
    nodeId: 'filler',
    incarnation: index,
    peerAddress: '127.0.0.1:1',
  };
  return JSON.stringify(record);
}

afterEach(async () => {
  await fixture?.stop();
  for (const file of files.splice(0)) rmSync(file);
});

interface AcceptCase {
  readonly name: string;
  /** Prepares the log for the command's append. */
  readonly prepare: () => void;
}

describe('an accepted configuration is in force everywhere', () => {
  const cases: AcceptCase[] = [
    {name: 'with the log up', prepare: () => {}},
    {
      name: 'with the log down right after it took the record',
      prepare: () => {
        fixture.log.control.downAfterRecord = '"kind":"configuration"';
      },
    },
    {
      name: 'with the first answer lost',
      prepare: () => {
        fixture.log.control.lostAnswers = 1;
      },
    },
  ];
  it.each(cases)('$name', async ({prepare}) => {
    await start();
    prepare();
    const end = await publish();
    expect(end.result).toMatchObject({inForce: 4, nodes: 4});
    expect(end.exitCode).toBe(0);
    const elapsedMs = await waitForConfiguration(fixture.deployment.hosts, 1);
    expect(elapsedMs).toBeLessThan(IN_FORCE_TIMEOUT_MS);
    const {callerAddress} = fixture.deployment.findHost('desk-3');
    const response = await fetch(`http://${callerAddress}/kona-archive/x`);
    const problem = (await response.json()) as Record<string, unknown>;
    expect(problem['reason']).toBe('no-worker');
  });

  it('when a single node read it before the log went down', async () => {
    await start();
    fixture.log.control.isDown = true;
    await pushConfiguration('desk-0');
    const elapsedMs = await waitForConfiguration(fixture.deployment.hosts, 1);
    expect(elapsedMs).toBeLessThan(IN_FORCE_TIMEOUT_MS);
  });
});

describe('a node that missed records catches up from its peers', () => {
  it('started anew while the log is down', async () => {
    await start();
    expect((await publish()).exitCode).toBe(0);
    fixture.log.control.isDown = true;
    const host = fixture.deployment.findHost('desk-3');
    await host.node?.kill();
    await host.startNode();
    const elapsedMs = await waitForConfiguration([host], 1);
    expect(elapsedMs).toBeLessThan(IN_FORCE_TIMEOUT_MS);
  });

  it('restarted, with more records than its peers keep', async () => {
    await start();
    expect((await publish()).exitCode).toBe(0);
    const fillers = [...Array(MORE_THAN_KEPT_RECORDS).keys()].map(buildFiller);
    fixture.log.append(LOG, fillers);
    const {hosts} = fixture.deployment;
    await waitForOffset(hosts, MORE_THAN_KEPT_RECORDS + 1);
    fixture.log.control.isDown = true;
    const host = fixture.deployment.findHost('desk-3');
    await host.node?.kill();
    await host.startNode();
    await waitForOffset([host], MORE_THAN_KEPT_RECORDS + 1);
    expect((await readState(host)).configurationNumber).toBe(1);
  });

  it('frozen while the configuration came, and the log down', async () => {
    await start();
    fixture.log.control.isDown = true;
    const frozen = fixture.deployment.findHost('desk-2');
    const others = fixture.deployment.hosts.filter(host => host !== frozen);
    frozen.node?.sendSignal('SIGSTOP');
    await pushConfiguration('desk-0');
    await waitForConfiguration(others, 1);
    frozen.node?.sendSignal('SIGCONT');
    const elapsedMs = await waitForConfiguration([frozen], 1);
    expect(elapsedMs).toBeLessThan(IN_FORCE_TIMEOUT_MS);
  });
});

describe('records that expire', () => {
  it('leave a snapshot from which all nodes can restart', async () => {
    await start({
      nodeSettings: {platformLog: {snapshotInterval: '200ms'}},
    });
    expect((await publish()).exitCode).toBe(0);
    fixture.log.control.retainedRecords = 5;
    await waitFor('the configuration record to expire', () => {
      const records = fixture.log.listRecords(LOG);
      return !records.some(data => data.includes('"kind":"configuration"'));
    });
    const {hosts} = fixture.deployment;
    await Promise.all(hosts.map(host => host.node?.kill()));
    await Promise.all(hosts.map(host => host.startNode()));
    await waitForConfiguration(hosts, 1);
  });

  it('before any node read them are skipped only by an operator', async () => {
    await start();
    expect((await publish()).exitCode).toBe(0);
    fixture.log.control.retainedRecords = 1;
    fixture.log.append(LOG, [buildFiller(1), buildFiller(2), buildFiller(3)]);
    fixture.log.control.retainedRecords = 100;
    const {hosts} = fixture.deployment;
    await waitFor('the nodes to see the gap', () =>
      hosts.every(host => host.node?.output.includes('records expired')),
    );
    const end = await runControl(fixture, ['recover']);
    expect(end.result).toMatchObject({inForce: 4, nodes: 4});
    expect(end.result['missing']).toBeGreaterThan(0);
    expect((await publish()).result).toMatchObject({configurationNumber: 2});
    await waitForConfiguration(hosts, 2);
  });
});

describe('malformed records', () => {
  it('are skipped, counted and logged, and the others are folded', async () => {
    await start();
    const rubbish = ['rubbish', '{"kind":"dance"}'];
    const firstOffset = fixture.log.append(LOG, rubbish);
    expect((await publish()).exitCode).toBe(0);
    for (const host of fixture.deployment.hosts) {
      const {counters} = await host.readStatus();
      expect((await readState(host)).malformedCount).toBe(2);
      expect(counters['log.records-malformed']).toBe(2);
      expect(host.node?.output).toContain('malformed log record skipped');
      expect(host.node?.output).toContain(`"offset":${firstOffset + 1}`);
    }
  });
});

describe('racing operators', () => {
  it('end in one configuration, and each loser is told', async () => {
    await start();
    const ends = await Promise.all(
      ['one', 'two', 'three', 'four'].map(service => publish(service)),
    );
    const won = ends.filter(end => end.exitCode === 0);
    const lost = ends.filter(end => end.exitCode === 3);
    expect(won.length).toBeGreaterThan(0);
    expect(won.length + lost.length).toBe(ends.length);
    for (const {result} of lost) {
      expect(result['error']).toContain('superseded');
    }
    await waitForConfiguration(fixture.deployment.hosts, won.length);
  });
});
