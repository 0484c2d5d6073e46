/**
 * A node on a platform with its own durable store, which the node reaches
 * through an adapter. The parts that such a platform replaces are not started:
 * the replicated log, key homes, and membership over the platform's log.
 */
import type {Server} from 'node:http';
import {randomUUID} from 'node:crypto';
import {AttemptDispatcher} from './attempt-dispatcher.js';
import {CallerLog} from './caller-log.js';
import {Entry} from './coordination/entry.js';
import type {Gate} from './coordination/gate.js';
import type {DesiredState} from './coordination/desired-state.js';
import {PeerDirectory} from './coordination/peer-directory.js';
import {RouteSplitter} from './coordination/route-split.js';
import type {BadVersionReport} from './coordination/version-moves.js';
import {createDirectoryGate} from './directory-gate.js';
import {DirectoryCrashes} from './directory-crashes.js';
import {DirectoryMoves} from './directory-moves.js';
import {DirectoryRecords} from './directory-records.js';
import {DirectorySubset} from './directory-subset.js';
import {DirectoryWorker} from './directory-worker.js';
import type {NodeAdapter, NodePort} from './node-adapter.js';
import {buildRouteHandler} from './node-route-query.js';
import {describeReadiness, NodeStop} from './node-stop.js';
import type {DirectorySettings} from './protocol/directory-settings.js';
import {DIRECTORY_CONNECTIONS} from './protocol/directory-settings.js';
import type {LiveSettings} from './protocol/live-settings.js';
import type {NodeIdentity} from './protocol/node-identity.js';
import {createIncarnation} from './protocol/node-identity.js';
import type {CrashPush} from './protocol/peer-messages.js';
import type {
  ServiceAnswer,
  ServiceRequest,
} from './protocol/service-request.js';
import type {WorkerState} from './protocol/worker-load.js';
import {AttemptRegistry} from './state/attempt-registry.js';
import {CrashTable} from './state/crash-table.js';
import {Explanations} from './state/explanations.js';
import {StateStore} from './state/state-store.js';
import {WorkerTable} from './state/worker-table.js';
import {SettingsReload} from './settings-reload.js';
import {StopAdmission} from './stop-admission.js';
import {computeGraceLimits} from './stop-limits.js';
import {createCallerServer} from './transport/caller-listener.js';
import {GateClient} from './transport/gate-client.js';
import {HeldBudget} from './transport/limits/held-budget.js';
import {LineWriter} from './transport/line-writer.js';
import {LoopWatch} from './transport/loop-watch.js';
import type {LogContext} from './transport/logger.js';
import {createLogger} from './transport/logger.js';
import {createMetricsServer, Metrics} from './transport/metrics.js';
import {
  askSeal,
  PeerExchange,
  servePeerCall,
} from './transport/peer-exchange.js';
import {createPeerServer} from './transport/peer-listener.js';

/** Interval between acknowledgements; two fit into the acknowledge timeout. */
const ACKNOWLEDGE_INTERVAL_MS = 240;
/** Added to the callers' idle timeout, so that callers close first. */
const IDLE_TIMEOUT_MARGIN_MS = 1000;

/** A node that finds the others through a directory. */
export class DirectoryNode {
  /** Values are read when they are used, as they may change. */
  private readonly settings: DirectorySettings;
  private readonly identity: NodeIdentity;
  private readonly writer = new LineWriter(process.stdout.fd);
  private readonly logger;
  private readonly metrics = new Metrics();
  private readonly loopWatch = new LoopWatch({
    record: lateMs => this.metrics.recordLoopDelay(lateMs),
    handleChange: (isBehind, mostLateMs) => {
      const text = isBehind ? 'node is behind' : 'node has caught up';
      this.log(text, {mostLateMs: Math.round(mostLateMs)});
    },
  });
  private readonly heldBudget: HeldBudget;
  private readonly state = new StateStore(undefined);
  private readonly workers = new WorkerTable();
  private readonly records: DirectoryRecords;
  private readonly peers = new PeerExchange();
  private readonly directory: PeerDirectory;
  private readonly gateClient: GateClient;
  private readonly gate: Gate;
  private readonly worker: DirectoryWorker;
  private readonly attempts = new AttemptRegistry();
  private readonly path: AttemptDispatcher;
  private readonly crashTable = new CrashTable();
  private readonly crashes: DirectoryCrashes;
  private readonly splitter = new RouteSplitter();
  private readonly subset: DirectorySubset;
  private readonly explanations = new Explanations();
  private readonly callerLog: CallerLog;
  private readonly moves: DirectoryMoves;
  private readonly entry: Entry;
  private readonly port: NodePort;
  private readonly callerServer: Server;
  private readonly peerServer: Server;
  private readonly plannedStop: NodeStop;
  private readonly stopAdmission: StopAdmission;
  private readonly settingsReload: SettingsReload;

  constructor(
    liveSettings: LiveSettings,
    private readonly adapter: NodeAdapter,
  ) {
    const settings = liveSettings.current;
    const {node} = settings;
    this.settings = settings;
    this.logger = createLogger(node.id, settings.logging, line =>
      this.writer.write(line),
    );
    this.callerLog = new CallerLog(
      this.logger,
      this.metrics,
      this.explanations,
    );
    this.identity = {
      nodeId: node.id,
      incarnation: createIncarnation(Date.now(), Math.random),
      dataCentre: node.dataCentre,
      callerAddress: node.callerAddress,
      peerAddress: node.peerAddress,
    };
    this.subset = new DirectorySubset(node, this.state, this.workers);
    this.port = this.createPort();
    this.heldBudget = new HeldBudget(settings.limits, this.port);
    this.records = this.createRecords();
    this.gateClient = new GateClient(node.id, DIRECTORY_CONNECTIONS);
    this.gate = createDirectoryGate({
      state: this.state,
      dataCentre: node.dataCentre,
      crashTable: this.crashTable,
      publishCrashes: records => this.crashes.publish(records),
      createProtocol: worker => adapter.createUpstreamProtocol(worker),
      handleLoadChange: () => this.directory.scheduleBeacon(),
      recordRequest: observed => this.moves.evidence.record(observed),
      count: name => this.metrics.count(name),
      report: (text, context) => this.log(text, context),
    });
    this.worker = new DirectoryWorker({
      nodeId: node.id,
      gate: this.gate,
      isConfigured: service => this.state.findProfile(service) !== undefined,
      store: adapter.directory,
      hasRecovered: () => this.directory.hasListed,
      pushNotes: () => this.directory.pushNotes(),
      recoverCrashes: records => this.crashes.recover(records),
      report: (text, context) => this.log(text, context),
    });
    this.crashes = new DirectoryCrashes({
      table: this.crashTable,
      send: this.peers.pushCrashes.bind(this.peers),
      listPeerAddresses: () => this.directory.listPeerAddresses(),
      note: record => this.worker.notes.addCrash(record),
      count: name => this.metrics.count(name),
      report: (text, context) => this.log(text, context),
    });
    this.directory = this.createDirectory();
    this.path = new AttemptDispatcher({
      identity: this.identity,
      gate: this.gate,
      gateClient: this.gateClient,
      attempts: this.attempts,
      askSeal,
      count: name => this.metrics.count(`attempts.${name}`),
      findVersions: () => this.moves.versions,
    });
    this.moves = new DirectoryMoves({
      identity: this.identity,
      state: this.state,
      workers: this.workers,
      calls: this.peers,
      outcomes: adapter.moveOutcomes,
      push: () => void this.directory.push(),
      count: name => this.metrics.count(name),
      report: (text, context) => this.log(text, context),
      findLocalVersion: service =>
        this.gate.listWorkers().find(worker => worker.service === service)
          ?.version,
    });
    this.entry = this.createEntry();
    this.callerServer = this.createCallerServer();
    this.peerServer = this.createPeerServer();
    this.plannedStop = new NodeStop({
      limits: computeGraceLimits(settings.limits.grace),
      membership: this.directory,
      callerServer: this.callerServer,
      peerServer: this.peerServer,
      closeClients: () => this.closeClients(),
      servesWhileCallersLeave: true,
      handleStep: (name, step) => this.log('stop', {step: name, ...step}),
      listRunning: () => this.stopAdmission.listRunning(),
      handleCut: (text, request) => this.log(text, {...request}),
    });
    const {plannedStop, logger, metrics, records, heldBudget} = this;
    this.stopAdmission = new StopAdmission(plannedStop, this.gate.nestedCalls);
    const parts = {plannedStop, logger, metrics, records, heldBudget, adapter};
    this.settingsReload = new SettingsReload(liveSettings, parts);
  }

  /** Starts listening, looks up the other nodes and begins to serve. */
  async start(): Promise<void> {
    const {heldBudget: budget, settings} = this;
    const {node} = settings;
    await budget.startServer(this.peerServer, 'peers', node.peerAddress);
    await this.peers.start(
      node.beaconAddress,
      beacon => this.directory.handleBeacon(beacon),
      name => this.directory.findDescription(name),
    );
    await budget.startServer(this.callerServer, 'callers', node.callerAddress);
    for (const one of this.adapter.createServers(this.port)) {
      await budget.startServer(one.server, one.name, one.address);
    }
    const route = buildRouteHandler(this.entry, this.state, this.splitter);
    const metricsServer = createMetricsServer(this.metrics, route);
    await budget.startServer(metricsServer, 'metrics', node.metricsAddress);
    this.state.events.on('changed', () => this.worker.refresh());
    this.gate.events.on('workersChanged', () => this.updateWorkers());
    this.workers.events.on('changed', () => this.updateVersions());
    this.moves.versions.start();
    this.records.start();
    this.directory.start();
    this.loopWatch.start();
    this.log('started', {incarnation: this.identity.incarnation});
  }

  /** Applies the settings that `readSettings` returns; it may throw. */
  handleSettings(readSettings: () => DirectorySettings): void {
    this.settingsReload.apply(readSettings);
  }

  /** Stops after all running requests have ended or the grace time is over. */
  async stop(): Promise<void> {
    this.log('stopping', {});
    await this.plannedStop.run();
    this.log('stopped', {});
    this.writer.close();
  }

  private createPort(): NodePort {
    return {
      isConfigured: () => this.state.isConfigured,
      findProfile: service => this.state.findProfile(service),
      findRoute: (host, path) => this.state.routes.find(host, path),
      chooseService: rule => this.splitter.chooseService(rule),
      describeReadiness: () =>
        describeReadiness(this.plannedStop.isStopping, this.isReady()),
      handleReport: report => this.worker.handleReport(report),
      handleLeave: notice => this.worker.handleLeave(notice),
      count: name => this.metrics.count(name),
      log: (text, context) => this.log(text, context),
    };
  }

  private createRecords(): DirectoryRecords {
    const {settings} = this;
    return new DirectoryRecords({
      topic: this.adapter.operatorTopic,
      get pollWaitMs() {
        return settings.store.pollWait;
      },
      state: this.state,
      nodeId: this.identity.nodeId,
      handleSilentPoll: () => this.directory.announceRecords(),
      readRecords: records =>
        this.adapter.readOperatorRecords(records, this.port),
      handleApplied: desiredState => this.handleApplied(desiredState),
      count: name => this.metrics.count(name),
      report: (text, context) => this.log(text, context),
      warn: (text, context) => this.logger.write('warn', text, context),
    });
  }

  private createDirectory(): PeerDirectory {
    return new PeerDirectory({
      identity: this.identity,
      beaconAddress: this.settings.node.beaconAddress,
      workers: this.workers,
      directory: this.adapter.directory,
      calls: this.peers,
      records: this.records.records,
      freshness: this.records.freshness,
      listSubset: () => this.subset.list(),
      isOwnPreferred: () => this.subset.isOwnPreferredAt(this.gate),
      random: Math.random,
      listLoads: () =>
        this.gate.listWorkers().flatMap(({service}) => {
          const load = this.gate.findLoad(service);
          return load ? [{service, load}] : [];
        }),
      listMoves: () => this.moves.orders.listMoveUpdates(),
      handleMoves: moves => this.moves.orders.applyMoveUpdates(moves),
      notes: this.worker.notes,
      crashes: this.crashes,
      handleLaterRecords: () => this.records.checkNow(),
      report: (text, context) => this.log(text, context),
    });
  }

  private createEntry(): Entry {
    return new Entry({
      dataCentre: this.identity.dataCentre,
      state: this.state,
      workers: this.workers,
      nestedCalls: this.gate.nestedCalls,
      explanations: this.explanations,
      sendAttempt: (...call) => this.path.sendAttempt(...call),
      random: Math.random,
      createAttemptId: randomUUID,
      count: name => this.metrics.count(name),
      report: (text, context) => this.log(text, context),
      isQuarantined: fingerprint => this.crashTable.isQuarantined(fingerprint),
      ...this.subset.buildSelection(() => this.moves.versions),
    });
  }

  private createCallerServer(): Server {
    return createCallerServer({
      nodeRoutes: [],
      protocol: this.adapter.createCallerProtocol(this.port),
      handleRequest: (request, signal) => this.handleRequest(request, signal),
      handleRefusal: (refusal, requestId) =>
        this.callerLog.recordRefusal(refusal, requestId),
      handleDiscarded: requestId => this.callerLog.recordDiscarded(requestId),
      findLimits: () => this.state.callerLimits,
      isStopping: () => this.plannedStop.isStopping,
    });
  }

  private createPeerServer(): Server {
    const handlers = {
      incarnation: this.identity.incarnation,
      handleUpdate: this.directory.handleUpdate.bind(this.directory),
      seal: this.attempts.seal.bind(this.attempts),
      readEvidence: this.moves.evidence.read.bind(this.moves.evidence),
      handleBadVersion: (bad: BadVersionReport) =>
        this.moves.versions.handleBadVersion(bad),
      handleCrashes: (push: CrashPush) => this.crashes.receive(push),
    };
    return createPeerServer({
      handleAttempt: (attempt, signal, handleAdmitted) =>
        this.stopAdmission.runAttempt(attempt, () =>
          this.path.runAttempt(attempt, signal, handleAdmitted),
        ),
      handleCall: (message, response) =>
        void servePeerCall(handlers, message, response),
      acknowledgeIntervalMs: ACKNOWLEDGE_INTERVAL_MS,
    });
  }

  private handleRequest(
    request: ServiceRequest,
    signal: AbortSignal,
  ): Promise<ServiceAnswer> {
    return this.callerLog.recordRun(request, () =>
      this.stopAdmission.runRequest(request, taken =>
        this.entry.handleRequest(taken, signal),
      ),
    );
  }

  private handleApplied({moveOrders}: DesiredState): void {
    this.moves.orders.applyOrders(moveOrders);
    const {callerLimits} = this.state;
    if (!callerLimits) return;
    const {idleTimeout, headerTimeout} = callerLimits;
    this.callerServer.keepAliveTimeout = idleTimeout + IDLE_TIMEOUT_MARGIN_MS;
    this.callerServer.headersTimeout = headerTimeout;
  }

  private updateWorkers(): void {
    this.directory.updateWorkers(
      this.gate.listWorkers().map(({service, version, slots, state}) => ({
        service,
        version,
        slots,
        state: state as WorkerState,
      })),
    );
  }

  private updateVersions(): void {
    for (const service of this.state.listServices()) {
      this.moves.orders.updateVersions(service);
    }
  }

  private isReady(): boolean {
    return this.state.isConfigured && this.directory.hasJoined;
  }

  private log(text: string, context: LogContext): void {
    this.logger.write('info', text, context);
  }

  private async closeClients(): Promise<void> {
    this.loopWatch.stop();
    this.moves.versions.stop();
    this.records.stop();
    this.worker.stop();
    await this.gateClient.close();
    await this.gate.close();
    this.peers.close();
    await this.adapter.close();
    await this.metrics.close();
  }
}
