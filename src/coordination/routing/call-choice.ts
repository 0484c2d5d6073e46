/** Inputs of a choice that depend on the call, and their description. */
import type {Profile} from '../../protocol/configuration.js';
import type {ServiceRequest} from '../../protocol/service-request.js';
import type {WorkerRow} from '../../state/worker-table.js';
import type {DataCentreSpill} from './data-centre-spill.js';
import type {ChoiceContext} from './worker-choice.js';

/** Whether requests go to workers of the entry's data centre first. */
export function isOwnPreferred({balancing, locality}: Profile): boolean {
  return balancing === 'paced' && locality.mode === 'prefer-own';
}

/** Builds what decides whether an attempt leaves; undefined in mode `any`. */
export function buildSpillContext(
  {profile, share}: {profile: Profile; share: DataCentreSpill},
  request: ServiceRequest,
  call: {isFirst: boolean; wasRefusedAtHome: boolean; now: number},
): ChoiceContext['spill'] {
  if (!isOwnPreferred(profile)) return undefined;
  const {isFirst, wasRefusedAtHome, now} = call;
  return {
    share,
    request: {
      isFirst,
      wasRefusedAtHome,
      isNested: request.isNested ?? false,
      isLarge: request.body.rest !== undefined,
      timeLeftMs: (request.targetAt ?? request.deadline) - now,
    },
  };
}

/** Describes the load figures that a choice used, and their age. */
export function describeChoice(
  row: WorkerRow,
  now: number,
): Readonly<Record<string, string | number>> {
  const {target, version, inFlightHere, observed} = row;
  const chosen = {node: target.nodeId, version, inFlightHere};
  if (!observed) return chosen;
  const {figures, at} = observed;
  const {state, inFlight, queued, limit, pace} = figures;
  const ageMs = Math.round(now - at);
  return {...chosen, state, inFlight, queued, limit, pace, ageMs};
}
