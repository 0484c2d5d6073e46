/**
 * Heads that cross the time limit of their connection, on the way or because the
 * node paused: what is refused never runs, and what has arrived is served.
 */
import type {Server} from 'node:http';
import {connect} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';
import {waitFor} from '../measure/wait-for.js';
import {waitMs} from '../protocol/backoff.js';
import {profileSchema} from '../protocol/configuration.js';
import {createCallerServer} from '../transport/caller-listener.js';
import {createDefaultCallerProtocol} from '../transport/default-caller-protocol.js';

const TIME_LIMIT_MS = 300;
/** Longer than the time limit and the interval at which it is checked. */
const PAUSE_MS = 2500;
const HEAD_START = 'POST /desk/1 HTTP/1.1\r\nhost: node\r\n';
const HEAD_REST = 'content-length: 3\r\n\r\n';
const REQUEST = `${HEAD_START}${HEAD_REST}one`;

let server: Server | undefined;
let caller: Socket | undefined;

afterEach(() => {
  caller?.destroy();
  server?.closeAllConnections();
  server?.close();
});

/** What a caller has received, and how many of its requests ran. */
interface Outcome {
  text: string;
  runs: number;
  discarded: number;
}

async function startExchange(): Promise<Outcome> {
  const outcome: Outcome = {text: '', runs: 0, discarded: 0};
  const profile = profileSchema.parse({});
  server = createCallerServer({
    nodeRoutes: [],
    protocol: createDefaultCallerProtocol({
      findProfile: () => profile,
      findRoute: () => undefined,
      chooseService: () => 'desk',
    }),
    handleRequest: async () => {
      outcome.runs += 1;
      return {status: 200, headers: {}, body: {held: Buffer.from('booked')}};
    },
    handleRefusal: () => {},
    handleDiscarded: () => (outcome.discarded += 1),
    findLimits: () => undefined,
    isStopping: () => false,
  });
  server.headersTimeout = TIME_LIMIT_MS;
  server.keepAliveTimeout = TIME_LIMIT_MS;
  await new Promise<void>(resolve => server!.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  caller = connect({port, host: '127.0.0.1', allowHalfOpen: true});
  caller.on('data', chunk => (outcome.text += chunk.toString()));
  caller.on('error', () => {});
  await new Promise<void>(resolve => caller!.once('connect', resolve));
  // The server counts from its accept.
  await waitMs(TIME_LIMIT_MS / 10);
  return outcome;
}

/** Stops the event loop, as a machine that stands still stops its processes. */
function pauseEventLoop(): void {
  const endsAt = performance.now() + PAUSE_MS;
  while (performance.now() < endsAt);
}

async function waitForText(outcome: Outcome, text: string): Promise<void> {
  await waitFor(text, async () => outcome.text.includes(text));
}

/** How a request crosses the time limit of its connection. */
const CROSSINGS: Readonly<Record<string, (outcome: Outcome) => Promise<void>>> =
  {
    'whole on a new connection, unread in a pause': async () => {
      caller!.write(REQUEST);
      pauseEventLoop();
    },
    'its end on a new connection, unread in a pause': async () => {
      caller!.write(HEAD_START);
      await waitMs(TIME_LIMIT_MS / 10);
      caller!.write(`${HEAD_REST}one`);
      pauseEventLoop();
    },
    'on an idle connection, unread in a pause': async outcome => {
      caller!.write(REQUEST);
      await waitForText(outcome, 'booked');
      outcome.text = '';
      outcome.runs = 0;
      caller!.write(REQUEST);
      pauseEventLoop();
    },
    'on its way when it was refused': async outcome => {
      await waitForText(outcome, ' 408 ');
      caller!.write(REQUEST);
    },
    'its end on its way when it was refused': async outcome => {
      caller!.write(HEAD_START);
      await waitForText(outcome, ' 408 ');
      caller!.write(`${HEAD_REST}one`);
    },
  };

// Guards against a 408 for a request that runs: a caller that trusts the refusal
// sends its booking again, and is charged twice.
describe('a head that crosses the time limit of its connection', () => {
  it.each([
    {crossing: 'whole on a new connection, unread in a pause', status: 200},
    {crossing: 'its end on a new connection, unread in a pause', status: 200},
    {crossing: 'on an idle connection, unread in a pause', status: 200},
    {crossing: 'on its way when it was refused', status: 408},
    {crossing: 'its end on its way when it was refused', status: 408},
  ])('$crossing: $status', async ({crossing, status}) => {
    const outcome = await startExchange();
    await CROSSINGS[crossing]!(outcome);
    await waitForText(outcome, ` ${status} `);
    await waitMs(TIME_LIMIT_MS);
    expect(outcome.text.match(/HTTP\/1.1 \d+/g)).toEqual([
      `HTTP/1.1 ${status}`,
    ]);
    expect(outcome.runs).toBe(status === 200 ? 1 : 0);
    expect(outcome.discarded).toBe(status === 200 ? 0 : 1);
  });
});
