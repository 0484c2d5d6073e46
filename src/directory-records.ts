/**
 * Wires what a node with a peer directory does with operators' records: follows
 * them in the platform's store and applies the desired state that an adapter
 * reads from them.
 */
import type {DesiredState} from './coordination/desired-state.js';
import {DesiredStateApplier} from './coordination/desired-state.js';
import type {KeyedTopic} from './coordination/keyed-follower.js';
import {KeyedFollower} from './coordination/keyed-follower.js';
import {StoreFreshness} from './coordination/store-freshness.js';
import type {KeyedRecord} from './state/keyed-records.js';
import {KeyedRecords} from './state/keyed-records.js';
import type {StateStore} from './state/state-store.js';

/** Dependencies of a node's operator records. */
export interface DirectoryRecordsOptions {
  readonly nodeId: string;
  readonly topic: KeyedTopic;
  /** Maximum time that the next read waits for a record, in milliseconds. */
  readonly pollWaitMs: number;
  readonly state: StateStore;
  readonly readRecords: (records: readonly KeyedRecord[]) => DesiredState;
  /** Called with each desired state after it was applied to `state`. */
  readonly handleApplied: (desiredState: DesiredState) => void;
  /** Called with records that the polls of other nodes may not deliver. */
  readonly handleSilentPoll: () => void;
  readonly count: (name: string) => void;
  /** Writes a log line with its context. */
  readonly report: (
    text: string,
    context: Readonly<Record<string, string | number>>,
  ) => void;
  readonly warn: (text: string, context: {readonly detail: string}) => void;
}

/** Operators' records as known to one node. */
export class DirectoryRecords {
  readonly records = new KeyedRecords();
  readonly freshness: StoreFreshness;
  private readonly follower: KeyedFollower;
  private readonly applier: DesiredStateApplier;

  constructor(private readonly options: DirectoryRecordsOptions) {
    const {topic, state, report} = options;
    this.applier = new DesiredStateApplier(state, report);
    this.follower = new KeyedFollower({
      topic,
      records: this.records,
      get pollWaitMs() {
        return options.pollWaitMs;
      },
      random: Math.random,
      isPolling: () => this.freshness.isPolling,
      handleAnswer: () => this.freshness.recordAnswer(),
      handleSilentPoll: () => {
        options.count('store.silent-polls');
        report('poll of the store was silent', {end: this.records.end.offset});
        options.handleSilentPoll();
      },
      handleAvailability: (isAvailable, detail) => {
        options.count(isAvailable ? 'store.back' : 'store.away');
        options.warn(isAvailable ? 'store answers' : 'store is away', {detail});
      },
      report,
    });
    this.freshness = new StoreFreshness(options.nodeId, () =>
      this.follower.checkTopic(),
    );
    this.freshness.handlePolling = () => this.follower.startPolling();
    this.records.events.on('changed', () => this.applyRecords());
    this.records.events.on('restored', ({from, to}) => {
      options.count('store.restored');
      report('store was restored', {
        fromEra: from.era,
        fromEnd: from.offset,
        era: to.era,
        end: to.offset,
      });
    });
    this.records.events.on('outdated', ({record, known}) => {
      const {key, era, offset} = record;
      options.count('operator-records.outdated');
      report('operator record older than the known one', {
        key,
        era,
        offset,
        knownEra: known.era,
        knownOffset: known.offset,
      });
    });
  }

  /** Starts reading the records in the background. */
  start(): void {
    this.follower.start();
    this.freshness.start();
  }

  stop(): void {
    this.freshness.stop();
    this.follower.stop();
  }

  /** Reads the newest records at once, because another node has later ones. */
  checkNow(): void {
    this.follower.checkNow();
  }

  /** Applies the known records again, read with other settings. */
  refresh(): void {
    this.applyRecords(true);
  }

  private applyRecords(isRebuilt = false): void {
    const {readRecords, handleApplied} = this.options;
    const desiredState = readRecords(this.records.list());
    this.applier.apply(desiredState, isRebuilt);
    handleApplied(desiredState);
  }
}
