/**
 * Client that all operator commands share: reads the state, publishes a record
 * and waits until the record is in force at every live node.
 */
import {randomUUID} from 'node:crypto';
import {readToTail} from '../coordination/log-follower.js';
import {createRecordPublisher} from '../coordination/record-publisher.js';
import {RecordRelay} from '../coordination/record-relay.js';
import {waitMs} from '../protocol/backoff.js';
import {LogUnavailableError} from '../protocol/platform-log.js';
import type {LoggedRecord, LogRecord} from '../protocol/records.js';
import {parseRecord} from '../state/fold-record.js';
import {RecordOutcome} from '../state/replicated-state.js';
import {parseSnapshot} from '../state/snapshot.js';
import {StateStore} from '../state/state-store.js';
import {PeerClients} from '../transport/peer-client.js';
import {PlatformLogClient} from '../transport/platform-log-client.js';
import {StateCalls} from '../transport/state-service.js';
import type {ControlSettings} from './control-settings.js';
import {findAuthor} from './control-settings.js';
import {ControlError, ExitCode} from './exit-codes.js';
import type {KnownNode, NodeProgress} from './node-directory.js';
import {NodeDirectory} from './node-directory.js';
import type {Output} from './output.js';

const PEER_TIMEOUT_MS = 1000;
const POLL_INTERVAL_MS = 100;
/** Number of nodes to which the command pushes an accepted record. */
const PUSH_FANOUT = 5;

/** Fields of every record that the client fills in. */
type BaseField = 'id' | 'author' | 'writtenAtMs';

/** A record without the fields that the client fills in. */
export type DraftRecord = LogRecord extends infer R
  ? R extends LogRecord
    ? Omit<R, BaseField>
    : never
  : never;

/** An accepted record and the number of nodes where it is in force. */
export interface Submission {
  readonly recordId: string;
  readonly offset: number;
  readonly inForce: number;
  readonly nodes: number;
}

/** Client of a deployment. */
export class ControlClient {
  readonly state = new StateStore(undefined);
  readonly directory: NodeDirectory;
  private readonly peers = new PeerClients();
  private readonly calls = new StateCalls(this.peers, PEER_TIMEOUT_MS);
  private readonly log;
  private readonly relay;

  constructor(
    readonly settings: ControlSettings,
    readonly output: Output,
  ) {
    this.log = new PlatformLogClient(settings.platformLog);
    this.directory = new NodeDirectory(settings.nodes, this.calls);
    this.relay = new RecordRelay({
      state: this.state,
      calls: this.calls,
      listPeers: () => [],
      fanout: PUSH_FANOUT,
      pullIntervalMs: POLL_INTERVAL_MS,
      random: Math.random,
      count: () => {},
    });
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    this.peers.close();
    await this.log.close();
  }

  /**
   * Updates the state to the tail of the log or, when the log is unavailable, to
   * the state of a node.
   *
   * @throws Error when neither the log nor a node answers.
   */
  async refreshState(): Promise<void> {
    const nodes = await this.directory.listNodes();
    const hasNode = await this.fetchState(nodes);
    const timeout = AbortSignal.timeout(this.settings.timeLimit);
    try {
      await readToTail(this.log, this.state, timeout);
    } catch (error) {
      if (!hasNode) throw error;
    }
  }

  /** Applies the state of the first node that answers; false if none does. */
  async fetchState(nodes: readonly KnownNode[]): Promise<boolean> {
    for (const node of nodes) {
      try {
        const reply = await this.calls.readRecords(node.peerAddress, 0, true);
        const state = parseSnapshot(reply.snapshot);
        if (state) this.state.applySnapshot(state);
        if (state) return true;
      } catch {
        // The next node may answer.
      }
    }
    return false;
  }

  /** Reads the first offset that the log keeps and the next one. */
  async readLogBounds(): Promise<{firstOffset: number; nextOffset: number}> {
    const {firstOffset, nextOffset} = await this.log.read(0, 0);
    return {firstOffset, nextOffset};
  }

  /**
   * Appends a record and waits until it is in force at every live node.
   *
   * @throws ControlError when another record came first, when the log did not
   * accept it, or when it is not in force at some node after the time limit.
   */
  async publishRecord(draft: DraftRecord): Promise<Submission> {
    const record = {
      ...draft,
      id: randomUUID(),
      author: findAuthor(this.settings),
      writtenAtMs: Date.now(),
    } as LogRecord;
    const readUpTo = this.state.current.nextOffset;
    await this.append(record, readUpTo);
    const records = this.state.listRecords(readUpTo) ?? [];
    const logged = records.find(
      each => parseLoggedRecord(each)?.id === record.id,
    );
    const offset = logged?.offset ?? this.state.current.nextOffset - 1;
    const inForce = await this.pushAndWait(records, offset);
    return {recordId: record.id, offset, ...inForce};
  }

  /** Waits until every live node has applied the record at an offset. */
  async waitUntilInForce(
    offset: number,
  ): Promise<{inForce: number; nodes: number}> {
    const deadline = performance.now() + this.settings.timeLimit;
    for (;;) {
      const nodes = await this.directory.listNodes();
      const progress = await this.directory.readProgress(nodes);
      const behind = progress.filter(node => !hasApplied(node, offset));
      const inForce = nodes.length - behind.length;
      this.output.reportProgress(
        `in force at ${inForce} of ${nodes.length} nodes`,
      );
      if (behind.length === 0) return {inForce, nodes: nodes.length};
      if (performance.now() > deadline) throw createNotInForceError(behind);
      await waitMs(POLL_INTERVAL_MS);
    }
  }

  private async append(record: LogRecord, readUpTo: number): Promise<void> {
    const appendRecord = createRecordPublisher({
      log: this.log,
      state: this.state,
      appendTimeoutMs: this.settings.timeLimit,
    });
    let outcome: RecordOutcome;
    try {
      outcome = await appendRecord(record);
    } catch (error) {
      if (!(error instanceof LogUnavailableError)) throw error;
      const effect = error.mayHaveTakenEffect
        ? '; it may have been accepted all the same, see "status"'
        : '; nothing was changed';
      throw new ControlError(
        ExitCode.LOG_UNAVAILABLE,
        `${error.message}${effect}`,
      );
    }
    if (outcome === RecordOutcome.ACCEPTED) return;
    throw new ControlError(
      ExitCode.SUPERSEDED,
      `superseded: ${this.describeWinner(record, readUpTo)}; nothing was changed`,
    );
  }

  /**
   * Pushes records to a few nodes, because the log may become unavailable before
   * they read it, and waits until the last record is in force.
   */
  private async pushAndWait(
    records: readonly LoggedRecord[],
    offset: number,
  ): Promise<{inForce: number; nodes: number}> {
    const nodes = await this.directory.listNodes();
    const chosen = nodes.slice(0, PUSH_FANOUT);
    await Promise.all(
      chosen.map(node => this.relay.pushTo(node.peerAddress, records)),
    );
    return this.waitUntilInForce(offset);
  }

  private describeWinner(record: LogRecord, readUpTo: number): string {
    const winner = (this.state.listRecords(readUpTo) ?? [])
      .map(parseLoggedRecord)
      .find(
        other =>
          other?.kind === record.kind &&
          other.id !== record.id &&
          this.state.findOutcome(other.id) === RecordOutcome.ACCEPTED,
      );
    return winner
      ? `${winner.author} came first with record ${winner.id}`
      : 'the state has changed since, see "status"';
  }
}

function hasApplied(node: NodeProgress, offset: number): boolean {
  return node.nextOffset !== undefined && node.nextOffset > offset;
}

function parseLoggedRecord(logged: LoggedRecord): LogRecord | undefined {
  const parsed = parseRecord(logged.data);
  return 'record' in parsed ? parsed.record : undefined;
}

function createNotInForceError(behind: readonly NodeProgress[]): ControlError {
  const names = behind.map(
    node => `${node.nodeId} (${node.nextOffset ?? 'no answer'})`,
  );
  return new ControlError(
    ExitCode.NOT_IN_FORCE,
    `accepted, but not yet in force at: ${names.join(', ')}`,
  );
}
