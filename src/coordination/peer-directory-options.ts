/**
 * Interfaces for peer discovery: the node list in the platform's store, which
 * an adapter implements, and the calls to other nodes, which the transport
 * implements.
 */
import type {NodeIdentity} from '../protocol/node-identity.js';
import type {NodeNote} from '../protocol/node-note.js';
import type {
  LoadBeacon,
  NodeInfo,
  PeerUpdate,
  ServiceLoad,
} from '../protocol/peer-messages.js';
import type {AgedCrash} from '../protocol/crash-record.js';
import type {KeyedRecords} from '../state/keyed-records.js';
import type {WorkerRow, WorkerTable} from '../state/worker-table.js';
import type {StoreFreshness} from './store-freshness.js';

/** The list of nodes in the platform's store. */
export interface NodeDirectory {
  /**
   * Writes this node's entry, replacing an earlier one of the same id.
   *
   * @returns the era of the store in which it was written.
   * @throws StoreUnavailableError
   */
  announce(entry: NodeInfo): Promise<number>;
  /**
   * Lists the entries of all nodes.
   *
   * @throws StoreUnavailableError
   */
  list(): Promise<NodeList>;
  /**
   * Writes the note of a node, replacing an earlier one.
   *
   * @throws StoreUnavailableError
   */
  saveNote(note: NodeNote): Promise<void>;
}

/** All nodes as the store has them, and the era in which they were read. */
export interface NodeList {
  readonly era: number;
  readonly entries: readonly NodeInfo[];
  readonly notes: readonly NodeNote[];
}

/** Notes that nodes keep for each other, as a peer directory exchanges them. */
export interface NoteExchange {
  listFor(nodeId: string): NodeNote[];
  has(nodeId: string): boolean;
  /** Adds notes that another node had. */
  apply(notes: readonly NodeNote[]): void;
  /** Adds the notes that the store had. */
  recover(notes: readonly NodeNote[]): void;
}

/** Crashes of workers, as a peer directory exchanges them. */
export interface CrashExchange {
  list(): AgedCrash[];
  recover(crashes: readonly AgedCrash[]): void;
}

/** Calls to other nodes. */
export interface PeerCalls {
  /**
   * Sends an update to a node and resolves with that node's update; rejects
   * when the node does not reply.
   */
  sendUpdate(peerAddress: string, update: PeerUpdate): Promise<PeerUpdate>;
  /** Sends a datagram to each address; any may be lost. */
  sendBeacon(addresses: readonly string[], beacon: LoadBeacon): void;
}

/** Dependencies of a peer directory. */
export interface PeerDirectoryOptions {
  readonly identity: NodeIdentity;
  readonly beaconAddress: string;
  readonly workers: WorkerTable;
  readonly directory: NodeDirectory;
  readonly calls: PeerCalls;
  readonly records: KeyedRecords;
  readonly freshness: StoreFreshness;
  /** Returns the workers in the current subset of this node's entry. */
  readonly listSubset: () => readonly WorkerRow[];
  /**
   * Whether entries send requests for this node's workers to their own data
   * centre first; by default not.
   */
  readonly isOwnPreferred?: () => boolean;
  readonly random: () => number;
  /** Returns the load of the local workers. */
  readonly listLoads: () => readonly ServiceLoad[];
  /** Returns the move updates to send to other nodes. */
  readonly listMoves: () => PeerUpdate['moves'];
  /** Called with the move updates received from another node. */
  readonly handleMoves: (moves: PeerUpdate['moves']) => void;
  readonly notes: NoteExchange;
  readonly crashes: CrashExchange;
  /** Called when another node has later operator records. */
  readonly handleLaterRecords: () => void;
  /** Writes a log line with its context. */
  readonly report: (
    text: string,
    context: Readonly<Record<string, string | number>>,
  ) => void;
}
