/**
 * Finds the live nodes through some of them, and reads which records each has
 * applied.
 */
import {request} from 'undici';
import * as z from 'zod';
import {waitMs} from '../protocol/backoff.js';
import type {StateCalls} from '../transport/state-service.js';

const STATUS_TIMEOUT_MS = 2000;
/** Further wait for the other nodes after the first answer. */
const LATE_ANSWER_WAIT_MS = 200;
const STATUS_OK = 200;
/** Number of nodes that are read at the same time. */
const MAX_CONCURRENT_READS = 64;

const nodeSchema = z.object({
  nodeId: z.string(),
  peerAddress: z.string(),
  dataCentre: z.string(),
  callerAddress: z.string().optional(),
});

const statusSchema = nodeSchema.extend({nodes: z.array(nodeSchema)});

/** A node as described by itself or by another node. */
export type KnownNode = z.output<typeof nodeSchema>;

/** A node and the offset of the record that it applies next, if it answers. */
export interface NodeProgress extends KnownNode {
  readonly nextOffset: number | undefined;
}

/** Directory of the nodes of a deployment. */
export class NodeDirectory {
  constructor(
    /** Caller addresses of some nodes. */
    private readonly addresses: readonly string[],
    private readonly calls: StateCalls,
  ) {}

  /** Lists the nodes that the given nodes know as live, themselves included. */
  async listNodes(): Promise<KnownNode[]> {
    const found = new Map<string, KnownNode>();
    const lists = await this.readStatuses();
    for (const node of lists.flat()) {
      const known = found.get(node.nodeId);
      found.set(node.nodeId, {...known, ...node});
    }
    return [...found.values()];
  }

  /** Reads the progress of each node, sorted by node id. */
  async readProgress(nodes: readonly KnownNode[]): Promise<NodeProgress[]> {
    const progress: NodeProgress[] = [];
    const unread = [...nodes];
    const readUnread = async (): Promise<void> => {
      for (let node = unread.pop(); node; node = unread.pop()) {
        progress.push({...node, nextOffset: await this.readNextOffset(node)});
      }
    };
    await Promise.all(Array.from({length: MAX_CONCURRENT_READS}, readUnread));
    return progress.sort((a, b) => a.nodeId.localeCompare(b.nodeId));
  }

  /**
   * Reads the status of all given nodes. After the first answer, waits only
   * briefly for the others.
   */
  private async readStatuses(): Promise<KnownNode[][]> {
    const lists: KnownNode[][] = [];
    const tasks = this.addresses.map(async address => {
      const list = await readStatus(address);
      lists.push(list);
      if (list.length === 0) throw new Error(`no answer from ${address}`);
    });
    const all = Promise.allSettled(tasks);
    const first = Promise.any(tasks).then(() => waitMs(LATE_ANSWER_WAIT_MS));
    await Promise.race([all, first.catch(() => all)]);
    return [...lists];
  }

  private async readNextOffset(node: KnownNode): Promise<number | undefined> {
    try {
      const reply = await this.calls.readRecords(
        node.peerAddress,
        Number.MAX_SAFE_INTEGER,
      );
      return reply.nextOffset;
    } catch {
      return undefined;
    }
  }
}

async function readStatus(address: string): Promise<KnownNode[]> {
  try {
    const answer = await request(`http://${address}/-/status`, {
      signal: AbortSignal.timeout(STATUS_TIMEOUT_MS),
    });
    if (answer.statusCode !== STATUS_OK) {
      await answer.body.dump();
      return [];
    }
    const {nodes, ...self} = statusSchema.parse(await answer.body.json());
    return [...nodes, self];
  } catch {
    return [];
  }
}
