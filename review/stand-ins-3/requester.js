/* global setTimeout, clearTimeout, performance */
/** Stand-in for a requester: sends one request and reads its whole answer. */
import {Buffer} from 'node:buffer';
import {request} from 'node:http';
import {ROUTE_HOST, waitMs as pause} from './deployment.js';

/**
 * Sends a request to a node's outbound address.
 *
 * @returns status, headers, body and `end`: `complete`, or how it failed.
 */
export function sendRequest(address, options) {
  const {
    id,
    method = 'GET',
    path,
    body,
    chunks,
    waitMs = 5000,
    agent = false,
  } = options;
  const [host, port] = address.split(':');
  const headers = {
    Host: ROUTE_HOST,
    'Sequoiaspool-Attempt-Id': id,
    'Sequoiaspool-Deadline-Remaining-Ms': String(waitMs),
    ...options.headers,
  };
  if (body && !chunks) headers['Content-Length'] = String(body.length);
  return new Promise(resolve => {
    const startedAt = performance.now();
    const sent = request({host, port, method, path, headers, agent});
    const parts = [];
    let answer = {status: 0, headers: {}};
    let isDone = false;
    const finish = end => {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      sent.destroy();
      const elapsedMs = Math.round(performance.now() - startedAt);
      resolve({id, ...answer, body: Buffer.concat(parts), end, elapsedMs});
    };
    const timer = setTimeout(() => finish('time limit'), waitMs);
    sent.on('error', error => finish(`error ${error.code ?? error.message}`));
    sent.on('response', message => {
      answer = {status: message.statusCode, headers: message.headers};
      message.on('data', part => parts.push(part));
      message.on('error', error =>
        finish(`cut ${error.code ?? error.message}`),
      );
      message.on('close', () => finish(message.complete ? 'complete' : 'cut'));
      message.on('end', () => {
        if (!message.complete) return finish('cut');
        isDone = true;
        clearTimeout(timer);
        const elapsedMs = Math.round(performance.now() - startedAt);
        resolve({
          id,
          ...answer,
          body: Buffer.concat(parts),
          end: 'complete',
          elapsedMs,
        });
      });
    });
    if (!chunks) {
      sent.end(body);
      return;
    }
    void sendChunks(sent, chunks, options.pauseMs ?? 0);
  });
}

/** Sends the parts of a body, with a pause after each. */
async function sendChunks(sent, chunks, pauseMs) {
  for (const part of chunks) {
    if (sent.destroyed) return;
    sent.write(part);
    if (pauseMs > 0) await pause(pauseMs);
  }
  sent.end();
}
