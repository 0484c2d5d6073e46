/**
 * The choice of a worker for one attempt of a call: which workers may get it,
 * the inputs that depend on the call, and their description.
 */
import type {AttemptTarget} from '../../protocol/attempt.js';
import type {Profile} from '../../protocol/configuration.js';
import type {ServiceRequest} from '../../protocol/service-request.js';
import {WorkerState} from '../../protocol/worker-load.js';
import type {WorkerRow} from '../../state/worker-table.js';
import type {EntryOptions} from '../entry.js';
import type {DataCentreSpill} from './data-centre-spill.js';
import type {ChoiceContext} from './worker-choice.js';

/** What the selection of workers depends on. */
export type SelectionOptions = Pick<
  EntryOptions,
  'state' | 'workers' | 'dataCentre' | 'selectWorkers' | 'selectVersion'
>;

/** A call as far as the choice of a worker depends on it. */
export interface ChoosingCall {
  readonly request: ServiceRequest;
  readonly profile: Profile;
  readonly share: DataCentreSpill;
  /** Number of choices for the service, this one included. */
  readonly choiceCount: number;
  /** Whether no attempt was sent before. */
  readonly isFirst: boolean;
  readonly wasRefusedAtHome: boolean;
}

/** Returns why no attempt may be sent to a worker; undefined if one may. */
export function findExclusionRule(
  row: WorkerRow,
  state: Pick<EntryOptions['state'], 'isDataCentreOut'>,
): 'draining' | 'data-centre-out' | undefined {
  if (row.state === WorkerState.DRAINING) return 'draining';
  return state.isDataCentreOut(row.dataCentre) ? 'data-centre-out' : undefined;
}

/** Selects the workers that the next attempt of a call may be sent to. */
export function selectCallRows(
  options: SelectionOptions,
  service: string,
  triedTargets?: ReadonlySet<AttemptTarget>,
  random?: () => number,
): WorkerRow[] {
  const {state, workers} = options;
  const eligible = workers
    .listWorkers(service)
    .filter(
      row =>
        !triedTargets?.has(row.target) &&
        findExclusionRule(row, state) === undefined,
    );
  return options.selectWorkers(service, eligible, random);
}

/** Builds the inputs of a choice. */
export function buildChoiceContext(
  dataCentre: string,
  call: ChoosingCall,
  random: () => number,
  now: number,
): ChoiceContext {
  const {request, profile, choiceCount} = call;
  const spill = buildSpillContext(request, call, now);
  return {
    dataCentre,
    farCostMs: profile.farCost,
    random,
    choiceCount,
    now,
    ...(spill ? {spill} : {}),
  };
}

/** Whether requests go to workers of the entry's data centre first. */
export function isOwnPreferred({balancing, locality}: Profile): boolean {
  return balancing === 'paced' && locality.mode === 'prefer-own';
}

/** Builds what decides whether an attempt leaves; undefined in mode `any`. */
function buildSpillContext(
  request: ServiceRequest,
  {profile, share, isFirst, wasRefusedAtHome}: ChoosingCall,
  now: number,
): ChoiceContext['spill'] {
  if (!isOwnPreferred(profile)) return undefined;
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
