/**
 * One node: builds its layers from the settings, connects them, and shuts them
 * down in an order that lets running requests finish.
 */
import {randomUUID} from 'node:crypto';
import type {Server} from 'node:http';
import type {ConnectRouter} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {AttemptDispatcher} from './attempt-dispatcher.js';
import {CrashPublisher} from './coordination/crash-publisher.js';
import {CrashQuarantine} from './coordination/crash-quarantine.js';
import {Entry} from './coordination/entry.js';
import {Gate} from './coordination/gate.js';
import {QuantileWindow} from './coordination/admission/quantile-window.js';
import {RouteSplitter} from './coordination/route-split.js';
import type {KeyedRequest} from './coordination/key-home.js';
import {KeyHomes} from './key-homes.js';
import type {Membership} from './coordination/membership.js';
import {
  createNodeMembership,
  findDeployment,
  listMemberRows,
} from './node-membership.js';
import {askSeal} from './node-attempts.js';
import {NodeMoves} from './node-moves.js';
import {buildRouteHandler} from './node-route-query.js';
import {buildNodeRoutes} from './node-routes.js';
import {describeReadiness, NodeStop} from './node-stop.js';
import {AttemptService} from './protocol/attempts_pb.js';
import type {NodeIdentity} from './protocol/node-identity.js';
import {createIncarnation, parseAddress} from './protocol/node-identity.js';
import {toRefusal} from './protocol/reasons.js';
import type {
  ServiceAnswer,
  ServiceRequest,
} from './protocol/service-request.js';
import {Verdict} from './protocol/verdict.js';
import type {NodeSettings} from './protocol/settings.js';
import {SharedState} from './shared-state.js';
import {AttemptRegistry} from './state/attempt-registry.js';
import {CrashTable} from './state/crash-table.js';
import type {HandleStep} from './state/explanations.js';
import {Explanations} from './state/explanations.js';
import {WorkerTable} from './state/worker-table.js';
import {StopAdmission} from './stop-admission.js';
import {computeStopLimits} from './stop-limits.js';
import {createSealHandler} from './transport/attempt-service.js';
import {createCallerServer} from './transport/caller-listener.js';
import {
  createCrashSender,
  registerCrashService,
} from './transport/crash-service.js';
import {GateClient} from './transport/gate-client.js';
import {HeldBudget} from './transport/limits/held-budget.js';
import type {LogContext, Logger} from './transport/logger.js';
import {createLogger} from './transport/logger.js';
import {registerMembershipService} from './transport/membership-service.js';
import {Metrics} from './transport/metrics.js';
import {createDefaultCallerProtocol} from './transport/default-caller-protocol.js';
import {PeerClients} from './transport/peer-client.js';
import {createPeerServer} from './transport/peer-listener.js';
import {reportProcess} from './transport/process-report.js';
import {createStatsdSender} from './transport/statsd-sender.js';
import {UpstreamClient} from './transport/upstream-client.js';

/** A node that uses the platform's log. */
export class NodeProcess {
  private readonly identity: NodeIdentity;
  private readonly logger;
  private readonly metrics;
  private readonly sharedState: SharedState;
  private readonly state;
  private readonly workers = new WorkerTable();
  private readonly peers;
  private readonly crashTable = new CrashTable();
  private readonly crashPublisher;
  private readonly moves: NodeMoves;
  private readonly gateClient;
  private readonly gate;
  private readonly explanations: Explanations;
  private readonly attempts = new AttemptRegistry();
  private readonly path: AttemptDispatcher;
  private readonly entry;
  private readonly splitter = new RouteSplitter();
  private readonly keyHomes;
  private readonly membership: Membership;
  private readonly callerServer: Server;
  private readonly peerServer: Server;
  private readonly plannedStop: NodeStop;
  private readonly stopAdmission: StopAdmission;
  private hasJoined = false;

  constructor(private readonly settings: NodeSettings) {
    const {node} = settings;
    this.identity = {
      nodeId: node.id,
      incarnation: createIncarnation(Date.now(), Math.random),
      dataCentre: node.dataCentre,
      callerAddress: node.callerAddress,
      peerAddress: node.peerAddress,
    };
    this.logger = createLogger(node.id, settings.logging);
    const {statsdAddress: address, prefix} = settings.metrics;
    this.metrics = new Metrics(
      address === undefined
        ? undefined
        : createStatsdSender(node.id, {address, prefix}),
    );
    this.explanations = new Explanations(createStepLogger(this.logger));
    this.peers = new PeerClients(settings.connections.localAddress);
    this.sharedState = new SharedState({
      identity: this.identity,
      settings,
      workers: this.workers,
      peers: this.peers,
      logger: this.logger,
      metrics: this.metrics,
    });
    this.state = this.sharedState.store;
    this.crashPublisher = new CrashPublisher({
      send: createCrashSender(this.peers),
      listPeerAddresses: () => this.listPeerAddresses(),
      handleRecord: record => this.crashTable.add(record),
    });
    this.moves = new NodeMoves({
      identity: this.identity,
      sharedState: this.sharedState,
      workers: this.workers,
      peers: this.peers,
      logger: this.logger,
      metrics: this.metrics,
      findGate: () => this.gate,
    });
    this.gateClient = new GateClient(node.id, settings.connections);
    this.gate = new Gate(
      this.moves.observe(
        announcement =>
          new UpstreamClient(
            announcement.address,
            announcement.slots,
            settings.connections.connectTimeout,
          ),
      ),
      this.state,
      node.dataCentre,
      new CrashQuarantine(this.crashTable, records =>
        this.crashPublisher.publish(records),
      ),
    );
    this.path = new AttemptDispatcher({
      identity: this.identity,
      gate: this.gate,
      gateClient: this.gateClient,
      attempts: this.attempts,
      askSeal,
      count: name => this.metrics.count(`attempts.${name}`),
      findVersions: () => this.moves.versions,
    });
    this.entry = new Entry({
      dataCentre: node.dataCentre,
      state: this.state,
      workers: this.workers,
      nestedCalls: this.gate.nestedCalls,
      explanations: this.explanations,
      sendAttempt: (...call) => this.path.sendAttempt(...call),
      random: Math.random,
      createAttemptTimes: () => new QuantileWindow(),
      createAttemptId: randomUUID,
      count: name => this.metrics.count(name),
      report: (text, context) =>
        this.logger.write('info', text, context as LogContext),
      isQuarantined: fingerprint => this.crashTable.isQuarantined(fingerprint),
      selectWorkers: (service, rows, random) =>
        this.moves.versions.selectWorkers(service, rows, random),
    });
    this.keyHomes = new KeyHomes({
      identity: this.identity,
      state: this.state,
      workers: this.workers,
      gate: this.gate,
      appendRecord: this.sharedState.appendRecord,
      runThroughEntry: (request, signal) =>
        this.entry.handleRequest(request, signal),
      isQuarantined: fingerprint => this.crashTable.isQuarantined(fingerprint),
      sendToHome: (attempt, signal, handleAckTimeout) =>
        this.gateClient.sendAttempt(attempt, signal, handleAckTimeout),
      selectWorkers: (service, rows) =>
        this.moves.versions.selectWorkers(service, rows),
      count: name => this.metrics.count(name),
    });
    this.membership = createNodeMembership({
      identity: this.identity,
      settings,
      workers: this.workers,
      state: this.state,
      peers: this.peers,
      gateClient: this.gateClient,
      metrics: this.metrics,
      logger: this.logger,
    });
    this.callerServer = createCallerServer({
      nodeRoutes: buildNodeRoutes({
        describeReadiness: () =>
          describeReadiness(this.plannedStop.isStopping, this.hasJoined),
        buildStatus: () => this.buildStatus(),
        describeRoute: buildRouteHandler(this.entry, this.state, this.splitter),
        findExplanation: requestId => this.explanations.find(requestId),
        announce: announcement => this.gate.announce(announcement),
        hostAddress: parseAddress(node.callerAddress).host,
      }),
      protocol: createDefaultCallerProtocol({
        findProfile: service => this.state.findProfile(service),
        findRoute: (host, path) => this.state.routes.find(host, path),
        chooseService: rule => this.splitter.chooseService(rule),
      }),
      handleRequest: (request, signal) => this.handleRequest(request, signal),
      handleRefusal: (refusal, requestId) => {
        this.metrics.count(`refusals.${refusal.reason}`);
        this.metrics.count(`verdicts.${refusal.verdict}`);
        this.logger.write('debug', 'refused', {
          requestId,
          reason: refusal.reason,
          verdict: refusal.verdict,
        });
      },
      handleDiscarded: requestId => {
        this.metrics.count('requests.discarded');
        this.logger.write('info', 'request discarded', {requestId});
      },
      findLimits: () => this.state.callerLimits,
      isStopping: () => this.plannedStop.isStopping,
    });
    this.peerServer = createPeerServer({
      handleAttempt: async (attempt, signal, handleAdmitted) => {
        const isKeyed = attempt.keyHomeEpoch !== undefined;
        return this.stopAdmission.runAttempt(
          attempt,
          () =>
            isKeyed
              ? this.keyHomes.handleAttempt(attempt, signal, handleAdmitted)
              : this.path.runAttempt(attempt, signal, handleAdmitted),
          isKeyed,
        );
      },
      handleCall: connectNodeAdapter({
        routes: router => this.registerServices(router),
      }),
      acknowledgeIntervalMs: settings.connections.acknowledgeInterval,
    });
    this.plannedStop = new NodeStop({
      limits: computeStopLimits(settings.stop),
      membership: this.membership,
      callerServer: this.callerServer,
      peerServer: this.peerServer,
      closeClients: () => this.closeClients(),
      handleStep: (name, step) => this.logger.write('info', name, {...step}),
      listRunning: () => this.stopAdmission.listRunning(),
      handleCut: (text, request) =>
        this.logger.write('info', text, {...request}),
    });
    this.stopAdmission = new StopAdmission(
      this.plannedStop,
      this.gate.nestedCalls,
    );
    this.plannedStop.beforeRefusing.push(() =>
      this.keyHomes.leave(settings.stop),
    );
  }

  /** Starts listening, joins the other nodes and begins to serve. */
  async start(): Promise<void> {
    const {node} = this.settings;
    const budget = new HeldBudget(
      {},
      {
        count: name => this.metrics.count(name),
        log: (text, context) => this.logger.write('info', text, context),
      },
    );
    const peerAddress = node.peerListenAddress ?? node.peerAddress;
    await budget.startServer(this.peerServer, 'peers', peerAddress);
    const {callerAddress} = this.identity;
    await budget.startServer(this.callerServer, 'callers', callerAddress);
    this.gate.events.on('workersChanged', () =>
      this.membership.updateWorkers(this.gate.listWorkers()),
    );
    this.membership.events.on('versionSeen', ({peerAddress}) =>
      this.sharedState.fetchNewer(peerAddress),
    );
    this.sharedState.start();
    this.moves.versions.start();
    this.keyHomes.start();
    await this.membership.join();
    this.hasJoined = true;
    this.logger.write('info', 'started', {
      callerAddress: this.identity.callerAddress,
      peerAddress: this.identity.peerAddress,
    });
  }

  /** Stops after running requests have ended or the drain timeout is over. */
  async stop(): Promise<void> {
    this.keyHomes.stop();
    await this.plannedStop.run();
    this.logger.write('info', 'stopped');
  }

  private async closeClients(): Promise<void> {
    this.moves.versions.stop();
    await this.sharedState.stop();
    await this.gateClient.close();
    await this.gate.close();
    this.peers.close();
    await this.metrics.close();
  }

  private async handleRequest(
    request: ServiceRequest,
    signal: AbortSignal,
  ): Promise<ServiceAnswer> {
    const answer = await this.stopAdmission.runRequest(request, taken =>
      this.keyHomes.hasKey(taken)
        ? this.handleKeyedRequest(taken, signal)
        : this.entry.handleRequest(taken, signal),
    );
    this.metrics.count(`verdicts.${Verdict.RAN}`);
    return answer;
  }

  private async handleKeyedRequest(
    request: KeyedRequest,
    signal: AbortSignal,
  ): Promise<ServiceAnswer> {
    const explainer = this.explanations.start(request);
    explainer.add('key-home', {key: request.key});
    try {
      const answer = await this.keyHomes.handleRequest(request, signal);
      explainer.add('answer', {status: answer.status});
      return answer;
    } catch (error) {
      const {reason, verdict} = toRefusal(error);
      explainer.add('refusal', {reason, verdict});
      throw error;
    }
  }

  private listPeerAddresses(): string[] {
    return this.workers
      .listNodes()
      .filter(({nodeId}) => nodeId !== this.identity.nodeId)
      .map(({peerAddress}) => peerAddress);
  }

  private registerServices(router: ConnectRouter): void {
    this.sharedState.registerServices(router);
    this.moves.registerServices(router);
    registerCrashService(router, (reports, forwardTo) =>
      this.crashPublisher.receive(reports, forwardTo),
    );
    this.keyHomes.registerServices(router);
    registerMembershipService(
      router,
      findDeployment(this.settings),
      this.membership,
      (name, amount) => this.metrics.count(name, amount),
    );
    router.rpc(
      AttemptService.method.sealAttempt,
      createSealHandler(this.identity.incarnation, (id, waitMs) =>
        this.attempts.seal(id, waitMs),
      ),
    );
  }

  private buildStatus(): Record<string, unknown> {
    return {
      ...this.identity,
      counters: this.metrics.report(),
      process: reportProcess(this.peers),
      state: this.sharedState.report(),
      moves: this.state.current.moves,
      keyHomes: this.keyHomes.report(),
      nodes: this.workers.listNodes(),
      members: listMemberRows(this.membership),
    };
  }
}

/** Returns a handler that logs each decision, at level debug only. */
function createStepLogger(logger: Logger): HandleStep | undefined {
  if (!logger.has('debug')) return undefined;
  return (requestId, {kind, detail}) =>
    logger.write('debug', kind, {requestId, ...detail} as LogContext);
}
