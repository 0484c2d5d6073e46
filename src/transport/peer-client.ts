/**
 * Connect clients to other nodes, created on first use. All share one agent,
 * which keeps idle connections.
 */
import type {Client} from '@connectrpc/connect';
import {createClient} from '@connectrpc/connect';
import type {DescService} from '@bufbuild/protobuf';
import {createConnectTransport} from '@connectrpc/connect-node';
import type {Socket} from 'node:net';
import {CountingAgent} from './counting-agent.js';

const MAX_IDLE_SOCKETS_PER_NODE = 2;
/** Below the peer listener's keep-alive timeout, so that the client closes. */
const IDLE_TIMEOUT_MS = 60_000;

/** Clients of the services of other nodes. */
export class PeerClients {
  private readonly agent;
  private readonly clients = new Map<string, unknown>();

  /** @param localAddress source address of connections. */
  constructor(localAddress?: string) {
    this.agent = new CountingAgent({
      keepAlive: true,
      maxFreeSockets: MAX_IDLE_SOCKETS_PER_NODE,
      timeout: IDLE_TIMEOUT_MS,
      ...(localAddress === undefined ? {} : {localAddress}),
    });
  }

  /** Finds or creates the client of a service at a peer address. */
  find<S extends DescService>(service: S, peerAddress: string): Client<S> {
    const name = `${service.typeName}@${peerAddress}`;
    let client = this.clients.get(name) as Client<S> | undefined;
    if (!client) {
      const transport = createConnectTransport({
        baseUrl: `http://${peerAddress}`,
        httpVersion: '1.1',
        useBinaryFormat: true,
        nodeOptions: {agent: this.agent},
      });
      client = createClient(service, transport);
      this.clients.set(name, client);
    }
    return client;
  }

  /** Returns the bytes written and read on all connections since creation. */
  countBytes(): number {
    return this.agent.countBytes();
  }

  /** Removes the clients of an address and closes its idle connections. */
  remove(peerAddress: string): void {
    for (const name of this.clients.keys()) {
      if (name.endsWith(`@${peerAddress}`)) this.clients.delete(name);
    }
    for (const socket of this.listIdleSockets(peerAddress)) socket.destroy();
  }

  /** Closes all connections and removes all clients. */
  close(): void {
    this.agent.destroy();
    this.clients.clear();
  }

  private listIdleSockets(peerAddress: string): Socket[] {
    return Object.entries(this.agent.freeSockets)
      .filter(([name]) => name.startsWith(`${peerAddress}:`))
      .flatMap(([, sockets]) => sockets ?? []);
  }
}
