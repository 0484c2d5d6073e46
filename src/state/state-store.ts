/**
 * Holds the replicated state of the platform log as this node knows it, and answers
 * the queries of the other layers.
 */
import Emittery from 'emittery';
import type {
  CallerLimits,
  Configuration,
  Profile,
} from '../protocol/configuration.js';
import {configurationSchema} from '../protocol/configuration.js';
import type {LoggedRecord} from '../protocol/records.js';
import {RouteTable} from '../protocol/route-table.js';
import {FoldOutcome, foldRecord} from './fold-record.js';
import type {
  DataCentreState,
  ReplicatedState,
  HomeList,
  Move,
  RecordOutcome,
} from './replicated-state.js';
import {EMPTY_STATE} from './replicated-state.js';

/** Maximum number of records kept for peers that lack them. */
const MAX_KEPT_RECORDS = 512;

/** A malformed record that was skipped, and why. */
export interface SkippedRecord {
  readonly offset: number;
  readonly detail: string;
}

interface StateEvents {
  /** The replicated state has this newer version. */
  changed: number;
  /** These records were folded, with any outcome. */
  folded: readonly LoggedRecord[];
  /** A malformed record was skipped. */
  skipped: SkippedRecord;
}

/** Folded state of one node. */
export class StateStore {
  readonly events = new Emittery<StateEvents>();
  private folded: ReplicatedState = EMPTY_STATE;
  private configuration: Configuration | undefined;
  private routeTable: RouteTable | undefined;
  private kept: LoggedRecord[] = [];
  private confirmedAt = -Infinity;

  constructor(initial: Configuration | undefined) {
    this.configuration = initial;
  }

  /** The current replicated state. */
  get current(): ReplicatedState {
    return this.folded;
  }

  /** Returns the profile of a service; undefined for an unknown service. */
  findProfile(service: string): Profile | undefined {
    const picked = this.configuration?.services[service]?.profile;
    return picked === undefined
      ? undefined
      : this.configuration?.profiles[picked];
  }

  /** Returns the configured version of a service; undefined allows any. */
  findServiceVersion(service: string): string | undefined {
    return this.configuration?.services[service]?.version;
  }

  /** Whether any configuration is in force. */
  get isConfigured(): boolean {
    return this.configuration !== undefined;
  }

  /** Routes of the configuration in force. */
  get routes(): RouteTable {
    this.routeTable ??= new RouteTable(this.configuration?.routes ?? []);
    return this.routeTable;
  }

  /** Limits on callers; undefined before the first configuration. */
  get callerLimits(): CallerLimits | undefined {
    return this.configuration?.callers;
  }

  /** Lists the names of the configured services. */
  listServices(): string[] {
    return Object.keys(this.configuration?.services ?? {});
  }

  /** Whether operators took a data centre out. */
  isDataCentreOut(dataCentre: string): boolean {
    return this.folded.dataCentres[dataCentre]?.isOut ?? false;
  }

  /** Returns the newest move of a service, running or ended. */
  findMove(service: string): Move | undefined {
    return this.folded.moves[service];
  }

  /** Lists a service's home lists by epoch; the last one is in force. */
  listHomeLists(service: string): readonly HomeList[] {
    return this.folded.homeLists[service] ?? [];
  }

  /** Returns the outcome of a recent record. */
  findOutcome(recordId: string): RecordOutcome | undefined {
    return this.folded.recentRecords.find(({id}) => id === recordId)?.outcome;
  }

  /**
   * Lists the records from an offset on, unparsed; undefined when some are no
   * longer kept, so that the requester needs the whole state.
   */
  listRecords(fromOffset: number): readonly LoggedRecord[] | undefined {
    const firstKept = this.kept[0]?.offset ?? this.folded.nextOffset;
    if (fromOffset >= this.folded.nextOffset) return [];
    if (fromOffset < firstKept) return undefined;
    return this.kept.slice(fromOffset - firstKept);
  }

  /**
   * Folds records in order. Records that were folded before and records after
   * a gap change nothing.
   *
   * @returns the number of records folded.
   */
  applyRecords(records: readonly LoggedRecord[]): number {
    const before = this.folded;
    const foldedRecords: LoggedRecord[] = [];
    for (const logged of records) {
      const {state, outcome, detail} = foldRecord(this.folded, logged);
      if (state === this.folded) continue;
      this.folded = state;
      foldedRecords.push(logged);
      if (outcome === FoldOutcome.MALFORMED) {
        const skipped = {offset: logged.offset, detail: detail ?? ''};
        void this.events.emit('skipped', skipped);
      }
    }
    if (foldedRecords.length === 0) return 0;
    this.kept = [...this.kept, ...foldedRecords].slice(-MAX_KEPT_RECORDS);
    void this.events.emit('folded', foldedRecords);
    this.publishChange(before);
    return foldedRecords.length;
  }

  /**
   * Replaces the state by a snapshot that is ahead of it.
   *
   * @returns whether the snapshot was applied.
   */
  applySnapshot(snapshot: ReplicatedState): boolean {
    const before = this.folded;
    const isAhead =
      snapshot.nextOffset > before.nextOffset &&
      snapshot.version >= before.version;
    if (!isAhead) return false;
    this.folded = snapshot;
    this.kept = [];
    this.publishChange(before);
    return true;
  }

  /** Applies a configuration from a source other than the log. */
  setConfiguration(configuration: Configuration): void {
    this.configuration = configuration;
    this.routeTable = undefined;
    this.applyChange({});
  }

  /** Sets the data centres that are out, from a source other than the log. */
  setDataCentresOut(names: ReadonlySet<string>): void {
    const dataCentres: Record<string, DataCentreState> = {};
    for (const name of names) dataCentres[name] = {isOut: true, number: 0};
    this.applyChange({dataCentres});
  }

  /** Sets a service's move from a source other than the log, or removes it. */
  setMove(service: string, move: Move | undefined): void {
    const moves = {...this.folded.moves};
    if (move) moves[service] = move;
    else delete moves[service];
    this.applyChange({moves});
  }

  /**
   * Computes the milliseconds since this node was last known to have read the
   * log to its tail; infinite when it never has.
   */
  computeLogAgeMs(): number {
    return performance.now() - this.confirmedAt;
  }

  /**
   * Records that this node's state reached the tail of the log the given time
   * ago, as seen by this node or by a peer with the same records.
   */
  recordLogConfirmation(ageMs: number): void {
    const at = performance.now() - ageMs;
    this.confirmedAt = Math.max(this.confirmedAt, at);
  }

  private applyChange(change: Partial<ReplicatedState>): void {
    const version = this.folded.version + 1;
    this.folded = {...this.folded, ...change, version};
    void this.events.emit('changed', version);
  }

  private publishChange(before: ReplicatedState): void {
    const {configuration, version} = this.folded;
    if (
      configuration &&
      configuration.number !== before.configuration?.number
    ) {
      const result = configurationSchema.safeParse(configuration.input);
      if (result.success) this.configuration = result.data;
      this.routeTable = undefined;
    }
    if (version > before.version) void this.events.emit('changed', version);
  }
}
