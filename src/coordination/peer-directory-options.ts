/**
 * What a node asks of the platform's store and of other nodes to find them.
 * An adapter implements the first, the transport the second.
 */
import type {NodeIdentity} from '../protocol/node-identity.js';
import type {
  LoadBeacon,
  NodeNews,
  PeerNews,
  ServiceLoad,
} from '../protocol/peer-messages.js';
import type {KeyedRecords} from '../state/keyed-records.js';
import type {WorkerRow, WorkerTable} from '../state/worker-table.js';

/** The list of nodes in the platform's store. */
export interface NodeDirectory {
  /**
   * Writes this node's entry, over an earlier one of the same id.
   *
   * @throws StoreUnavailableError
   */
  announce(entry: NodeNews): Promise<void>;
  /** @throws StoreUnavailableError */
  list(): Promise<NodeNews[]>;
}

/** Calls to other nodes. */
export interface PeerCalls {
  /** Tells a node the news and resolves with its own; rejects in silence. */
  sendNews(peerAddress: string, news: PeerNews): Promise<PeerNews>;
  /** Sends a datagram to each address; any may be lost. */
  sendBeacon(addresses: readonly string[], beacon: LoadBeacon): void;
}

/** What a directory works with. */
export interface PeerDirectoryOptions {
  readonly identity: NodeIdentity;
  readonly beaconAddress: string;
  readonly workers: WorkerTable;
  readonly directory: NodeDirectory;
  readonly calls: PeerCalls;
  readonly records: KeyedRecords;
  /** Workers that this node's entry chooses among now. */
  readonly listWatched: () => readonly WorkerRow[];
  readonly random: () => number;
  /** Load of the local workers. */
  readonly listLoads: () => readonly ServiceLoad[];
  /** The news of moves, both ways. */
  readonly listMoves: () => PeerNews['moves'];
  readonly handleMoves: (moves: PeerNews['moves']) => void;
  /** Told that another node knows later records of operators. */
  readonly handleLaterRecords: () => void;
  readonly report: (
    text: string,
    context: Readonly<Record<string, string | number>>,
  ) => void;
}
