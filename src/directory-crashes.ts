/**
 * Wires what a node with a peer directory knows of requests that crash workers.
 * A crash is told to all nodes at once, since the request may come again at any
 * of them, and noted in the store, since all of them may be killed.
 */
import {CrashPublisher} from './coordination/crash-publisher.js';
import type {
  AgedCrash,
  CrashRecord,
  SendCrashes,
} from './protocol/crash-record.js';
import type {CrashPush} from './protocol/peer-messages.js';
import type {CrashTable} from './state/crash-table.js';

/** Dependencies of a node's knowledge of crashes. */
export interface DirectoryCrashesOptions {
  readonly table: CrashTable;
  readonly send: SendCrashes;
  readonly listPeerAddresses: () => readonly string[];
  /** Notes a crash of the local worker for this node's next process. */
  readonly note: (record: CrashRecord) => void;
  readonly count: (name: string) => void;
  /** Writes a log line with its context. */
  readonly report: (
    text: string,
    context: Readonly<Record<string, string | number>>,
  ) => void;
}

/** Crashes as known to one node. */
export class DirectoryCrashes {
  private readonly publisher: CrashPublisher;

  constructor(private readonly options: DirectoryCrashesOptions) {
    this.publisher = new CrashPublisher({
      send: options.send,
      listPeerAddresses: options.listPeerAddresses,
      handleRecord: record => this.add({...record, ageMs: 0}, 'reported'),
    });
  }

  /** Publishes crashes of the local worker, or answers after earlier ones. */
  async publish(records: readonly CrashRecord[]): Promise<void> {
    for (const record of records) {
      if (record.fingerprints.length === 0) continue;
      this.options.note(record);
      this.record(record, 'seen here');
    }
    await this.publisher.publish(records);
  }

  /** Handles reports of another node and forwards them. */
  receive({reports, forwardTo}: CrashPush): void {
    this.publisher.receive(reports, forwardTo);
  }

  /** Adds what another node or the store still knew. */
  recover(records: readonly AgedCrash[]): void {
    for (const record of records) this.add(record, 'recovered');
  }

  /** Lists the crashes that still matter, for a node that starts. */
  list(): AgedCrash[] {
    return this.options.table.listOpen();
  }

  private add(record: AgedCrash, source: string): void {
    if (this.options.table.add(record, record.ageMs))
      this.record(record, source);
  }

  private record(record: CrashRecord, source: string): void {
    const {count, report, table} = this.options;
    const {crashId, service, fingerprints, suspects} = record;
    count('crashes.recorded');
    report('crash of a worker', {
      crashId,
      service,
      source,
      requests: fingerprints.length,
      answered: record.answeredFingerprints.length,
      suspects: suspects.join(' '),
      quarantined: table.listQuarantined().length,
    });
  }
}
