/**
 * Bytes of a caller that the HTTP parser rejects, and headers that it knows
 * nothing of: a proper request on the same connection still gets its answer.
 */
import type {Server} from 'node:http';
import {connect} from 'node:net';
import type {AddressInfo} from 'node:net';
import {Readable} from 'node:stream';
import {afterEach, describe, expect, it} from 'vitest';
import {waitMs} from '../protocol/backoff.js';
import type {ServiceAnswer} from '../protocol/service-request.js';
import {HELD_BODY_BYTES} from '../protocol/service-request.js';
import type {CallerHandlers} from '../transport/caller-listener.js';
import {createCallerServer} from '../transport/caller-listener.js';
import {createDefaultCallerProtocol} from '../transport/default-caller-protocol.js';
import {profileSchema} from '../protocol/configuration.js';

/** Time for the caller's bytes to arrive before the answer is ready. */
const ANSWER_DELAY_MS = 50;
const JUNK = 'rubbish\r\n\r\n';
const GET = 'GET /desk/1 HTTP/1.1\r\nhost: node\r\n';
const POST =
  'POST /desk/1 HTTP/1.1\r\nhost: node\r\ntransfer-encoding: chunked\r\n\r\n';

let server: Server | undefined;

afterEach(() => {
  server?.closeAllConnections();
  server?.close();
});

/** A body of which the second part comes after a delay. */
function createSlowBody(): ServiceAnswer['body'] {
  const rest = new Readable({read: () => {}});
  void waitMs(ANSWER_DELAY_MS).then(() => {
    rest.push('second');
    rest.push(null);
  });
  return {held: Buffer.from('first '), rest};
}

const ANSWERS: Readonly<Record<string, () => Promise<ServiceAnswer['body']>>> =
  {
    later: async () => {
      await waitMs(ANSWER_DELAY_MS);
      return {held: Buffer.from('whole')};
    },
    'in parts': async () => createSlowBody(),
  };

async function startServer(
  answer: string,
  maxHeader = 16 * 1024,
): Promise<number> {
  const profile = profileSchema.parse({});
  server = createCallerServer({
    nodeRoutes: [],
    protocol: createDefaultCallerProtocol({
      findProfile: () => profile,
      findRoute: () => undefined,
      chooseService: () => 'desk',
    }),
    handleRequest: async () => ({
      status: 200,
      headers: {},
      body: await ANSWERS[answer]!(),
    }),
    handleRefusal: () => {},
    handleDiscarded: () => {},
    findLimits: () => ({maxHeader, headerTimeout: 10_000, idleTimeout: 10_000}),
    isStopping: () => false,
  } satisfies CallerHandlers);
  await new Promise<void>(resolve => server!.listen(0, '127.0.0.1', resolve));
  return (server.address() as AddressInfo).port;
}

/** Sends bytes, the second part a little later; resolves with all received. */
function sendParts(port: number, parts: readonly string[]): Promise<string> {
  return new Promise(resolve => {
    const socket = connect(port, '127.0.0.1');
    let text = '';
    socket.on('data', part => (text += part.toString()));
    socket.on('error', () => {});
    socket.on('close', () => resolve(text));
    const [first, second] = parts;
    socket.write(first!);
    setTimeout(() => socket.write(second!), ANSWER_DELAY_MS / 5);
  });
}

// The refusal of the later bytes was written in the place, or into the midst,
// of the earlier request's answer.
describe('bytes that are no request, behind a whole request', () => {
  it.each([
    {answer: 'later', expected: /\r\n\r\nwhole$/},
    {answer: 'in parts', expected: /first \r\n6\r\nsecond\r\n0\r\n\r\n$/},
  ])('answered $answer: the request gets its answer', async one => {
    const port = await startServer(one.answer);
    const text = await sendParts(port, [`${GET}\r\n`, JUNK]);
    expect(text).toMatch(/^HTTP\/1.1 200 /);
    expect(text).toMatch(one.expected);
    expect(text).not.toContain('HTTP/1.1 4');
  });
});

describe('bytes that are no body, in a request', () => {
  it('without an answer yet: is refused', async () => {
    const port = await startServer('later');
    const text = await sendParts(port, [POST, JUNK]);
    expect(text).toMatch(/^HTTP\/1.1 400 /);
  });

  it('while the answer is being sent: cut the answer', async () => {
    const port = await startServer('in parts');
    const chunk = 'x'.repeat(2 * HELD_BODY_BYTES);
    const part = `${chunk.length.toString(16)}\r\n${chunk}\r\n`;
    const text = await sendParts(port, [POST + part, JUNK]);
    expect(text).toMatch(/^HTTP\/1.1 200 /);
    expect(text).not.toContain('HTTP/1.1 4');
    expect(text).not.toMatch(/0\r\n\r\n$/);
  });
});

// A proper request was answered 417.
it('an expectation that the node does not know is ignored', async () => {
  const port = await startServer('later');
  const request = `${GET}expect: patience\r\nconnection: close\r\n\r\n`;
  const text = await sendParts(port, [request, '']);
  expect(text).toMatch(/^HTTP\/1.1 200 [^]*whole$/);
});

// The limit of the configuration was not applied, so that headers within a
// larger one were answered 431.
describe('the limit on headers', () => {
  it.each([
    {name: 'within the usual limit', size: 8000, limit: 16_384, status: 200},
    {name: 'above the usual limit', size: 20_000, limit: 16_384, status: 431},
    {name: 'within a larger limit', size: 60_000, limit: 65_536, status: 200},
    {name: 'above a smaller limit', size: 8000, limit: 4096, status: 431},
  ])('$name: $status', async ({size, limit, status}) => {
    const port = await startServer('later', limit);
    const request = `${GET}x-large: ${'x'.repeat(size)}\r\nconnection: close\r\n\r\n`;
    const text = await sendParts(port, [request, '']);
    expect(text).toMatch(new RegExp(`^HTTP/1.1 ${status} `));
  });
});
