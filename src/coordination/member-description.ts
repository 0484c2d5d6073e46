/**
 * Copies member records to the worker table, from which routing picks workers.
 */
import type {Member} from '../protocol/membership_pb.js';
import {MemberStatus} from '../protocol/membership_pb.js';
import type {WorkerState} from '../protocol/worker-load.js';
import type {NodeDescription, WorkerTable} from '../state/worker-table.js';

type UpdateTable = (workers: WorkerTable, member: Member) => void;

const UPDATES_BY_STATUS: Readonly<Record<MemberStatus, UpdateTable>> = {
  [MemberStatus.UNSPECIFIED]: () => {},
  [MemberStatus.ALIVE]: writeNode,
  [MemberStatus.SUSPECT]: writeNode,
  [MemberStatus.LEAVING]: removeNode,
  [MemberStatus.DEAD]: removeNode,
};

/** Updates the worker table from a member's record. */
export function updateWorkerTable(workers: WorkerTable, member: Member): void {
  UPDATES_BY_STATUS[member.status](workers, member);
}

function writeNode(workers: WorkerTable, member: Member): void {
  workers.update(describeNode(member));
}

function removeNode(workers: WorkerTable, member: Member): void {
  const known = workers.findNode(member.nodeId);
  // The record may describe an earlier process than the one in the table.
  if (known?.incarnation === member.incarnation) workers.remove(member.nodeId);
}

function describeNode(member: Member): NodeDescription {
  return {
    nodeId: member.nodeId,
    incarnation: member.incarnation,
    peerAddress: member.peerAddress,
    dataCentre: member.dataCentre,
    isSuspect: member.status === MemberStatus.SUSPECT,
    workers: member.workers.map(worker => ({
      service: worker.service,
      version: worker.version,
      slots: worker.slots,
      state: worker.state as WorkerState,
    })),
  };
}
