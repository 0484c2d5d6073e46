/**
 * Starts HTTP servers on addresses from the settings.
 */
import type {Server} from 'node:http';
import {parseAddress} from '../protocol/node-identity.js';

/** Resolves once the server listens; rejects if the address is in use. */
export function startListening(server: Server, address: string): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(parseAddress(address), () => resolve());
  });
}
