/**
 * Checks the order and duration of a planned stop, on servers without a node.
 * When hosts are stopped one after the other, the time for which each gate
 * refuses attempts determines how many workers are unavailable at once.
 */
import type {Server} from 'node:http';
import {createServer, request} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {connect} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';
import {waitFor} from '../measure/wait-for.js';
import {NodeStop} from '../node-stop.js';
import type {StopLimits} from '../stop-limits.js';

/** Timeout of the steps, far longer than an unblocked step takes. */
const STEP_TIMEOUT_MS = 60_000;
/** Timeout of a stop that nothing blocks; less than one step timeout. */
const STOP_TIMEOUT_MS = STEP_TIMEOUT_MS / 2;

/** Limits of a stop during which work runs, and the time of that work. */
const WORK_LIMITS: StopLimits = {
  lingerTime: 500,
  workTime: 2000,
  closeTime: 500,
};
const WORK_MS = 0.8 * WORK_LIMITS.workTime;

let servers: Server[] = [];
let sockets: Socket[] = [];

afterEach(() => {
  for (const socket of sockets) socket.destroy();
  for (const server of servers) server.close().closeAllConnections();
  servers = [];
  sockets = [];
});

async function startServer(): Promise<Server> {
  const server = createServer((message, response) => {
    if (message.url === '/slow') return;
    if (message.url === '/work')
      setTimeout(() => response.end('done'), WORK_MS);
    else response.end('done');
  });
  servers.push(server);
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return server;
}

function findPort(server: Server): number {
  return (server.address() as AddressInfo).port;
}

/** Opens a connection that carries no request. */
async function openIdleConnection(server: Server): Promise<Socket> {
  const socket = connect(findPort(server), '127.0.0.1');
  socket.on('error', () => {});
  sockets.push(socket);
  await new Promise(resolve => socket.once('connect', resolve));
  return socket;
}

interface StopRun {
  readonly steps: string[];
  readonly stop: NodeStop;
  readonly callerServer: Server;
  readonly peerServer: Server;
}

const DEFAULT_LIMITS: StopLimits = {
  lingerTime: STEP_TIMEOUT_MS,
  workTime: 2 * STEP_TIMEOUT_MS,
  closeTime: STEP_TIMEOUT_MS,
};

async function createStop(
  servesWhileCallersLeave: boolean,
  limits = DEFAULT_LIMITS,
  leave = async (): Promise<void> => {},
): Promise<StopRun> {
  const callerServer = await startServer();
  const peerServer = await startServer();
  const steps: string[] = [];
  const stop = new NodeStop({
    limits,
    membership: {
      leave: () => {
        steps.push('left');
        return leave();
      },
      stop: () => {},
    },
    callerServer,
    peerServer,
    closeClients: async () => {},
    servesWhileCallersLeave,
    handleStep: (name, {isComplete}) => {
      steps.push(isComplete ? name : `${name} in vain`);
    },
    listRunning: () => [],
    handleCut: () => {},
  });
  return {steps, stop, callerServer, peerServer};
}

describe('a planned stop', () => {
  it('does not wait for a connection of a peer without a request', async () => {
    const {steps, stop, peerServer} = await createStop(true);
    await openIdleConnection(peerServer);
    let hasEnded = false;
    void stop.run().then(() => (hasEnded = true));
    await waitFor('the stop to end', () => hasEnded, STOP_TIMEOUT_MS);
    expect(steps.at(-1)).toBe('attempts ended');
  });

  it('waits for a running attempt', async () => {
    const {steps, stop, callerServer, peerServer} = await createStop(true);
    const arrived = new Promise(resolve => peerServer.once('request', resolve));
    const running = request({port: findPort(peerServer), path: '/slow'});
    running.on('error', () => {});
    running.end();
    await arrived;
    let hasEnded = false;
    void stop.run().then(() => (hasEnded = true));
    await waitFor('the work to be waited for', () =>
      steps.includes('attempts refused'),
    );
    // The worker's calls for it come in by the callers' listener.
    const call = await fetch(`http://127.0.0.1:${findPort(callerServer)}/call`);
    expect(await call.text()).toBe('done');
    expect({hasEnded, last: steps.at(-1)}).toEqual({
      hasEnded: false,
      last: 'attempts refused',
    });
    running.destroy();
    await waitFor('the stop to end', () => hasEnded, STOP_TIMEOUT_MS);
    expect(steps.slice(-3)).toEqual([
      'work ended',
      'answered',
      'attempts ended',
    ]);
  });

  // Guards against a step of a stop that ends at a time of its own, and cuts
  // off work of others, though earlier steps left it much time.
  it.each([
    {serves: true, hasCaller: false, worksFor: 'peer'},
    {serves: true, hasCaller: true, worksFor: 'peer'},
    {serves: true, hasCaller: true, worksFor: 'caller'},
    {serves: false, hasCaller: false, worksFor: 'peer'},
    {serves: false, hasCaller: true, worksFor: 'peer'},
    {serves: false, hasCaller: true, worksFor: 'caller'},
  ] as const)('lets work end within its time: %o', async row => {
    const {serves, hasCaller, worksFor} = row;
    const run = await createStop(serves, WORK_LIMITS);
    if (hasCaller) await openIdleConnection(run.callerServer);
    const server = worksFor === 'peer' ? run.peerServer : run.callerServer;
    const arrived = new Promise(resolve => server.once('request', resolve));
    const answer = fetch(`http://127.0.0.1:${findPort(server)}/work`);
    await arrived;
    let hasEnded = false;
    void run.stop.run().then(() => (hasEnded = true));
    expect(await (await answer).text()).toBe('done');
    await waitFor('the stop to end', () => hasEnded, STOP_TIMEOUT_MS);
  });

  // Guards against steps that together last longer than the whole stop, after
  // which the process is killed.
  it.each([
    {serves: true, worksFor: ['peer']},
    {serves: true, worksFor: ['caller']},
    {serves: true, worksFor: ['caller', 'peer']},
    {serves: false, worksFor: ['caller', 'peer']},
  ])('cuts off work at its end: %o', async ({serves, worksFor}) => {
    const run = await createStop(serves, WORK_LIMITS);
    for (const client of worksFor) {
      const server = client === 'peer' ? run.peerServer : run.callerServer;
      const arrived = new Promise(resolve => server.once('request', resolve));
      const endless = request({port: findPort(server), path: '/slow'});
      endless.on('error', () => {}).end();
      await arrived;
    }
    const beganAt = performance.now();
    await run.stop.run();
    const {workTime, closeTime} = WORK_LIMITS;
    expect(performance.now() - beganAt).toBeLessThan(workTime + closeTime);
  });

  it.each([
    {name: 'never answer', leave: () => new Promise<void>(() => {})},
    {name: 'refuse', leave: () => Promise.reject(new Error('refused'))},
  ])('ends in time when the other nodes $name', async ({leave}) => {
    const {stop} = await createStop(true, WORK_LIMITS, leave);
    const beganAt = performance.now();
    await stop.run();
    const {workTime, closeTime} = WORK_LIMITS;
    expect(performance.now() - beganAt).toBeLessThan(workTime + closeTime);
  });

  const deadlines = [
    {name: 'before the stop', hasBegun: false, deadlineMs: 1e9, hasTime: true},
    {name: 'within its time', hasBegun: true, deadlineMs: 0, hasTime: true},
    {
      name: 'until shortly before its end',
      hasBegun: true,
      deadlineMs: 1.9 * STEP_TIMEOUT_MS,
      hasTime: true,
    },
    {
      name: 'beyond its end',
      hasBegun: true,
      deadlineMs: 2.1 * STEP_TIMEOUT_MS,
      hasTime: false,
    },
  ];
  // Guards against requests that are accepted late in a stop and cut off without
  // an answer at its end, though they may not be repeated.
  it.each(deadlines)('has time for requests $name: $hasTime', async row => {
    const {hasBegun, deadlineMs, hasTime} = row;
    const {stop, callerServer} = await createStop(true);
    await openIdleConnection(callerServer);
    if (hasBegun) void stop.run();
    expect(stop.hasTimeFor(performance.now() + deadlineMs)).toBe(hasTime);
  });

  it.each([
    {serves: true, before: ['callers left', 'left']},
    {serves: false, before: ['left', 'peers told']},
  ])('serves while callers leave: $serves', async ({serves, before}) => {
    const {steps, stop, callerServer} = await createStop(serves);
    const caller = await openIdleConnection(callerServer);
    let hasEnded = false;
    void stop.run().then(() => (hasEnded = true));
    await waitFor('the stop to begin', () => stop.isStopping);
    if (serves) expect(stop.isRefusingAttempts).toBe(false);
    caller.destroy();
    await waitFor('the stop to end', () => hasEnded, STOP_TIMEOUT_MS);
    expect(steps.slice(0, 2)).toEqual(before);
  });
});
