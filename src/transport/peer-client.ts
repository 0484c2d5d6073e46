/**
 * Connect clients to other nodes, one transport a node, made on first use.
 */
import type {Client} from '@connectrpc/connect';
import {createClient} from '@connectrpc/connect';
import type {DescService} from '@bufbuild/protobuf';
import {createConnectTransport} from '@connectrpc/connect-node';
import {Agent} from 'node:http';

const IDLE_SOCKETS_PER_NODE = 2;

/** Clients of the services of other nodes. */
export class PeerClients {
  private readonly agent = new Agent({
    keepAlive: true,
    maxFreeSockets: IDLE_SOCKETS_PER_NODE,
  });
  private readonly clients = new Map<string, unknown>();

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

  /** Forgets the clients of an address. */
  remove(peerAddress: string): void {
    for (const name of this.clients.keys()) {
      if (name.endsWith(`@${peerAddress}`)) this.clients.delete(name);
    }
  }

  /** Closes idle connections. */
  close(): void {
    this.agent.destroy();
    this.clients.clear();
  }
}
