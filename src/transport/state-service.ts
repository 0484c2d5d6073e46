/**
 * Exchange of log records and snapshots between nodes over Connect. The
 * replicated state is sent as JSON text, because the receiver validates it
 * against the schema of that state.
 */
import {create} from '@bufbuild/protobuf';
import type {ConnectRouter} from '@connectrpc/connect';
import type {LoggedRecord} from '../protocol/records.js';
import {LoggedRecordSchema, StateService} from '../protocol/state_pb.js';
import type {PeerClients} from './peer-client.js';

/** Reply to a peer that reads records. */
export interface RecordsReply {
  readonly records: readonly LoggedRecord[];
  /** Complete state as JSON data, sent instead of records; else undefined. */
  readonly snapshot: unknown;
  readonly nextOffset: number;
  readonly logAgeMs: number;
}

/** Handlers of calls from other nodes. */
export interface StateHandlers {
  readRecords(fromOffset: number, wantsState: boolean): RecordsReply;
  pushRecords(records: readonly LoggedRecord[]): number;
}

/** Registers the service that answers other nodes. */
export function registerStateService(
  router: ConnectRouter,
  handlers: StateHandlers,
): void {
  router.service(StateService, {
    readRecords: request => {
      const reply = handlers.readRecords(
        request.fromOffset,
        request.wholeState,
      );
      return {
        records: reply.records.map(record =>
          create(LoggedRecordSchema, {...record}),
        ),
        snapshot:
          reply.snapshot === undefined ? '' : JSON.stringify(reply.snapshot),
        nextOffset: reply.nextOffset,
        logFreshnessMs: reply.logAgeMs,
      };
    },
    pushRecords: request => ({
      nextOffset: handlers.pushRecords(request.records),
    }),
  });
}

/** Calls to the service of other nodes. */
export class StateCalls {
  constructor(
    private readonly peers: PeerClients,
    /** Timeout of one call in milliseconds. */
    private readonly timeoutMs: number,
  ) {}

  /** Reads records, or the complete state if the peer no longer keeps them. */
  async readRecords(
    peerAddress: string,
    fromOffset: number,
    wholeState = false,
  ): Promise<RecordsReply> {
    const client = this.peers.find(StateService, peerAddress);
    const reply = await client.readRecords(
      {fromOffset, wholeState},
      {timeoutMs: this.timeoutMs},
    );
    return {
      records: reply.records.map(({offset, data}) => ({offset, data})),
      snapshot: parseJson(reply.snapshot),
      nextOffset: reply.nextOffset,
      logAgeMs: reply.logFreshnessMs,
    };
  }

  /** Pushes records and resolves with the peer's next offset. */
  async pushRecords(
    peerAddress: string,
    records: readonly LoggedRecord[],
  ): Promise<number> {
    const client = this.peers.find(StateService, peerAddress);
    const reply = await client.pushRecords(
      {records: records.map(record => create(LoggedRecordSchema, {...record}))},
      {timeoutMs: this.timeoutMs},
    );
    return reply.nextOffset;
  }
}

function parseJson(text: string): unknown {
  if (text === '') return undefined;
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
