/**
 * What the log accepted is in force at every node within seconds, with the log
 * down after acceptance, for nodes that start while it is down, and for a node
 * that was frozen. Real node processes and the real operators' command.
 */
import {rmSync} from 'node:fs';
import {afterEach, describe, expect, it} from 'vitest';
import type {Host} from '../measure/local-deployment.js';
import {waitFor} from '../measure/wait-for.js';
import {runControl, writeTestFile} from './control-command.js';
import type {Fixture, FixtureOptions} from './deployment-fixture.js';
import {startFixture} from './deployment-fixture.js';

const IN_FORCE_LIMIT_MS = 5000;

let fixture: Fixture;
const files: string[] = [];

async function start(options: FixtureOptions): Promise<void> {
  fixture = await startFixture({workers: 4, ...options});
}

function writeConfiguration(service: string): string {
  const file = writeTestFile(
    [
      '[profiles.desk]',
      '[services.kona-desk]',
      'profile = "desk"',
      `[services.${service}]`,
      'profile = "desk"',
    ].join('\n'),
  );
  files.push(file);
  return file;
}

async function readState(host: Host): Promise<Record<string, number>> {
  const {state} = (await host.readStatus()) as unknown as {
    state: Record<string, number>;
  };
  return state;
}

/** Waits until each host has the configuration; resolves with the time. */
async function waitForConfiguration(
  hosts: readonly Host[],
  number: number,
): Promise<number> {
  const startedAt = performance.now();
  await waitFor(`configuration ${number} at all nodes`, async () => {
    const states = await Promise.all(hosts.map(readState));
    return states.every(state => state['configurationNumber'] === number);
  });
  return performance.now() - startedAt;
}

afterEach(async () => {
  await fixture?.stop();
  for (const file of files.splice(0)) rmSync(file);
});

describe('an accepted configuration is in force everywhere', () => {
  it('with the log up, and the command says at how many nodes', async () => {
    await start({});
    const end = await runControl(fixture, [
      'publish',
      writeConfiguration('kona-archive'),
    ]);
    expect(end.output).toContain('in force at 4 of 4 nodes');
    expect(end.exitCode).toBe(0);
    expect(end.result).toMatchObject({inForce: 4, nodes: 4});
    const host = fixture.deployment.findHost('desk-3');
    const response = await fetch(`http://${host.callerAddress}/kona-archive/x`);
    const problem = (await response.json()) as Record<string, unknown>;
    expect(problem['reason']).toBe('no-worker');
  });

  it('when only one node got it before the log went down', async () => {
    await start({});
    await fixture.log.append('kona', []);
    fixture.log.control.isDown = true;
    const {StateCalls} = await import('../transport/state-service.js');
    const {PeerClients} = await import('../transport/peer-client.js');
    const peers = new PeerClients();
    const host = fixture.deployment.findHost('desk-0');
    // The log holds home lists by now; the record comes after them.
    const offset = fixture.log.listRecords('kona').length;
    await waitFor('desk-0 to have read the log', async () => {
      const response = await fetch(`http://${host.callerAddress}/-/status`);
      const {state} = (await response.json()) as {state: {nextOffset: number}};
      return state.nextOffset === offset;
    });
    const record = {
      id: 'r1',
      author: 'test',
      writtenAtMs: 1,
      buildsOn: 0,
      kind: 'configuration',
      configuration: {profiles: {}, services: {}},
    };
    await new StateCalls(peers, 1000).pushRecords(host.peerAddress, [
      {offset, data: JSON.stringify(record)},
    ]);
    const took = await waitForConfiguration(fixture.deployment.hosts, 1);
    peers.close();
    expect(took).toBeLessThan(IN_FORCE_LIMIT_MS);
  });
});
