/**
 * A source that fails midway: the answer that a caller gets must not look
 * complete, whatever shows its end.
 */
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import {connect} from 'node:net';
import type {AddressInfo} from 'node:net';
import {Readable} from 'node:stream';
import {afterEach, describe, expect, it} from 'vitest';
import {writeAnswer} from '../transport/answer-writer.js';

const HELD = 'first part';

interface CutCase {
  readonly name: string;
  readonly version: string;
  readonly headers: Readonly<Record<string, string>>;
}

const CASES: readonly CutCase[] = [
  {name: 'chunks', version: '1.1', headers: {}},
  {name: 'a length', version: '1.1', headers: {'content-length': '1000'}},
  {name: 'the end of its connection', version: '1.0', headers: {}},
];

let server: Server | undefined;

afterEach(() => void server?.close());

/** Sends a request; resolves with what was received and how it ended. */
function receive(
  port: number,
  version: string,
): Promise<{text: string; isReset: boolean}> {
  return new Promise(resolve => {
    const socket = connect(port, '127.0.0.1');
    let text = '';
    let isReset = false;
    socket.on('data', part => (text += part.toString()));
    socket.on('error', () => (isReset = true));
    socket.on('close', () => resolve({text, isReset}));
    socket.write(`GET / HTTP/${version}\r\nhost: node\r\n\r\n`);
  });
}

// A caller of HTTP/1.0 got the start of a failed answer as a whole one.
describe('a failed answer', () => {
  it.each(CASES)('that ends by $name is not complete', async one => {
    server = createServer((message, response) => {
      const rest = new Readable({read: () => {}});
      const held = Buffer.from(HELD);
      const answer = {status: 200, headers: one.headers, body: {held, rest}};
      writeAnswer(response, answer, {}).catch(() => {});
      setTimeout(() => rest.destroy(new Error('worker is gone')), 50);
    });
    await new Promise<void>(resolve => server!.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as AddressInfo;
    const {text, isReset} = await receive(port, one.version);
    expect(text).toContain(HELD);
    const isFramed = /transfer-encoding: chunked|content-length/i.test(text);
    expect(isReset || (isFramed && !text.endsWith('0\r\n\r\n'))).toBe(true);
  });
});
