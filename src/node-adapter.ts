/**
 * The interface of an adapter, which lets a node run on a platform with its own
 * protocols: it supplies the protocols for callers and workers, access to the
 * store, and the parser of operators' records. An adapter only translates; all
 * decisions are made by the node.
 */
import type {Server} from 'node:http';
import type {KeyedTopic} from './coordination/keyed-follower.js';
import type {MoveOutcomes} from './coordination/ordered-moves.js';
import type {DesiredState} from './coordination/desired-state.js';
import type {NodeDirectory} from './coordination/peer-directory-options.js';
import type {
  LeaveNotice,
  ReportOutcome,
  WorkerReport,
} from './coordination/worker-reports.js';
import type {Announcement} from './protocol/announcement.js';
import type {Profile, RouteRule} from './protocol/configuration.js';
import type {KeyedRecord} from './state/keyed-records.js';
import type {CallerProtocol, NodeAnswer} from './transport/caller-listener.js';
import type {UpstreamProtocol} from './transport/upstream-protocol.js';

/** Functions of the node that an adapter may call. */
export interface NodePort {
  /** Whether any configuration is in force. */
  isConfigured(): boolean;
  findProfile(service: string): Profile | undefined;
  findRoute(host: string, path: string): RouteRule | undefined;
  chooseService(rule: RouteRule): string;
  describeReadiness(): NodeAnswer;
  /** Resolves once what the report confirms outlives this process. */
  handleReport(report: WorkerReport): Promise<ReportOutcome>;
  /** Resolves once the leaving is kept where it outlives this process. */
  handleLeave(notice: LeaveNotice): Promise<ReportOutcome>;
  count(name: string): void;
  log(text: string, context: Readonly<Record<string, string | number>>): void;
}

/** A server of the adapter with the address that it listens on. */
export interface AdapterServer {
  /** Name in logs. */
  readonly name: string;
  readonly address: string;
  readonly server: Server;
}

/** An adapter for one platform. */
export interface NodeAdapter {
  readonly operatorTopic: KeyedTopic;
  readonly directory: NodeDirectory;
  readonly moveOutcomes: MoveOutcomes;
  createCallerProtocol(port: NodePort): CallerProtocol;
  createUpstreamProtocol(worker: Announcement): UpstreamProtocol;
  /**
   * Converts operators' records to the desired state; records that cannot be
   * parsed are reported.
   */
  readOperatorRecords(
    records: readonly KeyedRecord[],
    port: NodePort,
  ): DesiredState;
  /** Creates the servers for readiness and for the worker's reports. */
  createServers(port: NodePort): readonly AdapterServer[];
  /** Applies settings of the store client that have changed. */
  refreshStore(): void;
  close(): Promise<void>;
}
