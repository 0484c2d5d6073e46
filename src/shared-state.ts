/**
 * Wires the components that keep a node's replicated state up to date: the
 * client and the follower of the platform log, the relay between nodes, the
 * snapshot schedule, and the function that appends records.
 */
import type {ConnectRouter} from '@connectrpc/connect';
import {LogFollower} from './coordination/log-follower.js';
import type {AppendRecord} from './coordination/record-publisher.js';
import {createRecordPublisher} from './coordination/record-publisher.js';
import {RecordRelay} from './coordination/record-relay.js';
import {SnapshotSchedule} from './coordination/snapshot-schedule.js';
import type {NodeIdentity} from './protocol/node-identity.js';
import type {NodeSettings} from './protocol/settings.js';
import {StateStore} from './state/state-store.js';
import type {WorkerTable} from './state/worker-table.js';
import type {Logger} from './transport/logger.js';
import type {Metrics} from './transport/metrics.js';
import type {PeerClients} from './transport/peer-client.js';
import {PlatformLogClient} from './transport/platform-log-client.js';
import {registerStateService, StateCalls} from './transport/state-service.js';

/** Dependencies and settings of the shared state. */
export interface SharedStateOptions {
  readonly identity: NodeIdentity;
  readonly settings: NodeSettings;
  readonly workers: WorkerTable;
  readonly peers: PeerClients;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Summary of a node's replicated state for operators. */
export interface StateReport {
  readonly version: number;
  readonly nextOffset: number;
  readonly configurationNumber: number;
  readonly malformedCount: number;
  /**
   * Milliseconds since this node was last known to have read the log to its
   * tail; null when it never has.
   */
  readonly logAgeMs: number | null;
}

/** Shared state of one node. */
export class SharedState {
  readonly store: StateStore;
  /** Appends a record and waits until it is folded here. */
  readonly appendRecord: AppendRecord;
  private readonly log;
  private readonly follower;
  private readonly relay;
  private readonly snapshots;

  constructor(private readonly options: SharedStateOptions) {
    const {settings, identity, metrics} = options;
    const {platformLog, relay} = settings;
    const random = Math.random;
    const count = (counter: string): void => metrics.count(counter);
    this.store = new StateStore(settings.configuration);
    this.log = new PlatformLogClient(platformLog);
    this.appendRecord = createRecordPublisher({
      log: this.log,
      state: this.store,
    });
    this.follower = new LogFollower({
      log: this.log,
      state: this.store,
      pollWaitMs: platformLog.pollWait,
      random,
      handleAvailability: (isAvailable, detail) =>
        this.reportAvailability(isAvailable, detail),
      handleGap: firstOffset => this.reportGap(firstOffset),
    });
    this.relay = new RecordRelay({
      state: this.store,
      calls: new StateCalls(options.peers, relay.timeLimit),
      listPeers: () => this.listPeers(),
      fanout: relay.fanout,
      pullIntervalMs: relay.pullInterval,
      random,
      count,
    });
    this.snapshots = new SnapshotSchedule({
      nodeId: identity.nodeId,
      state: this.store,
      appendRecord: this.appendRecord,
      intervalMs: platformLog.snapshotInterval,
      random,
      count,
    });
  }

  /** Starts following the log and exchanging records with peers. */
  start(): void {
    const {logger, metrics} = this.options;
    this.store.events.on('skipped', ({offset, detail}) => {
      metrics.count('log.records-malformed');
      logger.write('warn', 'malformed log record skipped', {offset, detail});
    });
    this.store.events.on('changed', version =>
      logger.write('debug', 'state changed', {version}),
    );
    this.follower.start();
    this.relay.start();
    this.snapshots.start();
  }

  /** Stops all tasks. */
  async stop(): Promise<void> {
    this.snapshots.stop();
    await Promise.all([this.follower.stop(), this.relay.stop()]);
    await this.log.close();
  }

  /** Pulls records from a peer that is known to have a newer state. */
  fetchNewer(peerAddress: string): void {
    void this.relay.fetchNewer(peerAddress);
  }

  /** Registers the RPC service for calls of other nodes and operators. */
  registerServices(router: ConnectRouter): void {
    registerStateService(router, {
      readRecords: (fromOffset, wantsState) =>
        this.relay.handleRead(fromOffset, wantsState),
      pushRecords: records => this.relay.handlePush(records),
    });
  }

  /** Returns the summary for the status endpoint. */
  report(): StateReport {
    const {version, nextOffset, configuration, malformedCount} =
      this.store.current;
    const logAgeMs = this.store.computeLogAgeMs();
    return {
      version,
      nextOffset,
      configurationNumber: configuration?.number ?? 0,
      malformedCount,
      logAgeMs: Number.isFinite(logAgeMs) ? Math.round(logAgeMs) : null,
    };
  }

  /** Lists the nodes known by membership, and the seeds for a new node. */
  private listPeers(): string[] {
    const {identity, settings, workers} = this.options;
    const known = workers.listNodes().map(node => node.peerAddress);
    const peers = new Set([...known, ...settings.membership.seeds]);
    peers.delete(identity.peerAddress);
    return [...peers];
  }

  private reportAvailability(isAvailable: boolean, detail: string): void {
    const {logger, metrics} = this.options;
    if (!isAvailable) metrics.count('log.outages');
    const text = isAvailable ? 'platform log answers' : 'platform log is away';
    logger.write('warn', text, {detail});
  }

  private reportGap(firstOffset: number): void {
    this.options.metrics.count('log.gaps');
    this.options.logger.write('warn', 'records expired and no snapshot', {
      firstOffset,
    });
  }
}
