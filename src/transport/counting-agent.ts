/**
 * HTTP agent that counts the bytes sent and received on its sockets. Headers
 * are included, because they outweigh the bodies of small calls.
 */
import type {ClientRequestArgs} from 'node:http';
import {Agent} from 'node:http';
import {Socket} from 'node:net';
import type {Duplex} from 'node:stream';

/** Agent that counts the bytes of its connections. */
export class CountingAgent extends Agent {
  private readonly openSockets = new Set<Socket>();
  private closedBytes = 0;

  override createConnection(
    options: ClientRequestArgs,
    callback?: (error: Error | null, stream: Duplex) => void,
  ): Duplex | null | undefined {
    const stream = super.createConnection(options, callback);
    if (stream instanceof Socket) this.watch(stream);
    return stream;
  }

  /** Returns the bytes written and read on all connections since creation. */
  countBytes(): number {
    let bytes = this.closedBytes;
    for (const socket of this.openSockets) bytes += countSocketBytes(socket);
    return bytes;
  }

  private watch(socket: Socket): void {
    this.openSockets.add(socket);
    socket.once('close', () => {
      this.openSockets.delete(socket);
      this.closedBytes += countSocketBytes(socket);
    });
  }
}

function countSocketBytes(socket: Socket): number {
  return socket.bytesWritten + socket.bytesRead;
}
