/**
 * Small HTTP helpers that the stand-ins share.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

/** Reads a whole request body. */
export async function readWholeBody(message: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of message as AsyncIterable<Buffer>)
    chunks.push(chunk);
  return Buffer.concat(chunks);
}

/** Sends a JSON answer. */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** Listens on loopback and resolves with the address as `IP:port`. */
export function startOnLoopback(server: Server, port = 0): Promise<string> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', () => {
      const {port: bound} = server.address() as AddressInfo;
      resolve(`127.0.0.1:${bound}`);
    });
  });
}
