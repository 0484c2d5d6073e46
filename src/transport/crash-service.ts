/** Connect calls that carry crash reports from node to node. */
import {create} from '@bufbuild/protobuf';
import type {ConnectRouter} from '@connectrpc/connect';
import {
  AttemptService,
  CrashReportSchema,
  PushCrashesReplySchema,
} from '../protocol/attempts_pb.js';
import type {CrashRecord, SendCrashes} from '../protocol/crash-record.js';
import type {PeerClients} from './peer-client.js';

const CALL_TIMEOUT_MS = 1000;

/** Creates the function that sends reports by the clients of other nodes. */
export function createCrashSender(peers: PeerClients): SendCrashes {
  return async (address, records, forwardTo) => {
    const reports = records.map(record =>
      create(CrashReportSchema, {
        ...record,
        fingerprints: [...record.fingerprints],
        answeredFingerprints: [...record.answeredFingerprints],
        suspects: [...record.suspects],
      }),
    );
    await peers
      .find(AttemptService, address)
      .pushCrashes(
        {reports, forwardTo: [...forwardTo]},
        {timeoutMs: CALL_TIMEOUT_MS},
      );
  };
}

/** Registers the call that receives crash reports. */
export function registerCrashService(
  router: ConnectRouter,
  receive: (
    reports: readonly CrashRecord[],
    forwardTo: readonly string[],
  ) => void,
): void {
  router.rpc(AttemptService.method.pushCrashes, ({reports, forwardTo}) => {
    receive(reports, forwardTo);
    return create(PushCrashesReplySchema);
  });
}
