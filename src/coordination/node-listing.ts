/**
 * This node's entry in the node list of the platform's store, and the entries of
 * the others. The entry is written once at the start. A store that was restored
 * from an older copy may have lost it: each node then looks whether the list
 * still has its entry, spread over some seconds, and writes it only if not.
 */
import {Backoff, waitMs} from '../protocol/backoff.js';
import type {NodeNote} from '../protocol/node-note.js';
import type {NodeInfo} from '../protocol/peer-messages.js';
import {StoreUnavailableError} from './keyed-follower.js';
import type {NodeDirectory} from './peer-directory-options.js';

/** Dependencies of a node's listing. */
export interface NodeListingOptions {
  readonly directory: NodeDirectory;
  readonly describe: () => NodeInfo;
  /** Called with the entries of all nodes, some of which may be stale. */
  readonly handleEntries: (entries: readonly NodeInfo[]) => void;
  /** Called with what the store has of all nodes' earlier processes. */
  readonly handleNotes: (notes: readonly NodeNote[]) => void;
  /** Returns the latest era of the store that this node knows of. */
  readonly findEra: () => number;
  readonly random: () => number;
  /** Writes a log line with its context. */
  readonly report: (
    text: string,
    context: Readonly<Record<string, string | number>>,
  ) => void;
}

const MIN_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 1000;
/** Time over which the nodes of a cluster look for their entries. */
const ENTRY_CHECK_SPREAD_MS = 5000;

/** Listing of one node. */
export class NodeListing {
  private readonly abort = new AbortController();
  private readAt = -Infinity;
  private isComplete = false;
  private isChecking = false;
  /** Latest era in which the list had this node's entry. */
  private entryEra = 0;

  constructor(private readonly options: NodeListingOptions) {}

  /** Whether this node is registered and has read the list. */
  get hasListed(): boolean {
    return this.isComplete;
  }

  /** Time of the last read of the list, in milliseconds. */
  get listedAt(): number {
    return this.readAt;
  }

  stop(): void {
    this.abort.abort();
  }

  /** Writes this node's entry and reads the list, as often as it takes. */
  async register(): Promise<void> {
    await this.retry(async () => {
      await this.announce();
      await this.readList();
      this.isComplete = true;
    });
  }

  /** Reads the list once; an unreachable store is only reported. */
  async refresh(): Promise<void> {
    try {
      await this.readList();
    } catch (error) {
      this.reportUnreachableStore(error);
    }
  }

  /** Writes the entry again if the store has lost it in a restore. */
  async checkEntry(): Promise<void> {
    if (!this.isComplete || this.isChecking || !this.isOutdated()) return;
    this.isChecking = true;
    const {random} = this.options;
    await waitMs(random() * ENTRY_CHECK_SPREAD_MS, this.abort.signal);
    await this.retry(async () => {
      await this.readList();
      if (!this.isOutdated()) return;
      await this.announce();
      this.options.report('directory entry written again', {
        era: this.entryEra,
      });
    });
    this.isChecking = false;
  }

  private isOutdated(): boolean {
    return this.entryEra < this.options.findEra();
  }

  private async announce(): Promise<void> {
    const {directory, describe} = this.options;
    this.entryEra = await directory.announce(describe());
  }

  private async readList(): Promise<void> {
    this.readAt = performance.now();
    const {directory, describe, handleNotes} = this.options;
    const {era, entries, notes} = await directory.list();
    const {nodeId, incarnation} = describe();
    handleNotes(notes);
    const isListed = entries.some(
      entry => entry.nodeId === nodeId && entry.incarnation === incarnation,
    );
    if (isListed) this.entryEra = era;
    this.options.handleEntries(entries);
  }

  /** Retries without limit: without the list this node finds no others. */
  private async retry(step: () => Promise<void>): Promise<void> {
    const {random} = this.options;
    const backoff = new Backoff(MIN_BACKOFF_MS, MAX_BACKOFF_MS, random);
    while (!this.abort.signal.aborted) {
      try {
        await step();
        return;
      } catch (error) {
        this.reportUnreachableStore(error);
        await backoff.wait(this.abort.signal);
      }
    }
  }

  /** Reports an unreachable store; any other error is a bug and is thrown. */
  private reportUnreachableStore(error: unknown): void {
    if (!(error instanceof StoreUnavailableError)) throw error;
    this.options.report('directory not reached', {detail: error.message});
  }
}
