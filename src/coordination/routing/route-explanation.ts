/**
 * Explains where a request would go now and why, without sending it. The load
 * is the operator's question "why is this request slow or refused?" while
 * demand is uneven. The decision code of requests runs on copies of the state
 * that it changes, with a generator of its own, so nothing here alters a later
 * choice.
 */
import seedrandom from 'seedrandom';
import type {Profile} from '../../protocol/configuration.js';
import {Reason, RefusalError} from '../../protocol/reasons.js';
import type {ServiceRequest} from '../../protocol/service-request.js';
import type {WorkerState} from '../../protocol/worker-load.js';
import {Explanations} from '../../state/explanations.js';
import type {WorkerRow} from '../../state/worker-table.js';
import type {EntryServiceState} from '../entry.js';
import {SENT_FRACTION} from '../refusals/entry-refusal.js';
import type {SelectionOptions} from './call-choice.js';
import {
  buildChoiceContext,
  isOwnPreferred,
  selectCallRows,
} from './call-choice.js';
import type {DataCentreSpill, SpillInputs} from './data-centre-spill.js';
import type {ChoiceSamples, ExclusionRule} from './exclusion-rules.js';
import {computeCost, ExclusionRules, SAMPLES} from './exclusion-rules.js';
import type {ChoiceContext} from './worker-choice.js';
import {chooseWorker} from './worker-choice.js';
import {computeWaitMs} from './worker-room.js';

/** Fixed, so that the same state gives the same explanation. */
const SEED = 'route';
const US_PER_MS = 1000;
/** Costs and shares are given with three decimals. */
const PRECISION = 1000;

/** A worker as the choice sees it; `null` stands for what is not known. */
export interface ExplainedWorker {
  readonly node: string;
  readonly dataCentre: string;
  readonly version: string;
  readonly state: WorkerState;
  readonly isSuspect: boolean;
  readonly slots: number;
  /** Attempts of this node that are in flight there. */
  readonly inFlightHere: number;
  readonly inFlight: number | null;
  readonly queued: number | null;
  readonly limit: number | null;
  readonly pace: number | null;
  readonly serviceMs: number | null;
  readonly failureShare: number | null;
  /** Age of the figures. */
  readonly ageMs: number | null;
  /**
   * Cost that the policy compares: in service times for `paced`, in
   * milliseconds for `adaptive`; `null` for policies without one.
   */
  readonly cost: number | null;
  /** Expected wait for a slot. */
  readonly waitMs: number;
  /** Probability of being chosen for the first attempt, estimated. */
  readonly probability: number;
  /** Why it is not chosen; `null` if it may be. */
  readonly ruledOutBy: ExclusionRule | null;
}

/** The share of requests that leave the data centre. */
export interface ExplainedShare {
  /** Share before the request, and after the step that it would make. */
  readonly before: number;
  readonly share: number;
  /** Inputs of the share's newest step. */
  readonly inputs: SpillInputs;
  /** Time since that step; 0 if the request would make one. */
  readonly ageMs: number | null;
  /** Part of the sampled choices that left. */
  readonly leaves: number;
}

/** Refusal by the entry, without a message to a gate. */
export interface ExplainedRefusal {
  readonly reason: string;
  readonly detail: string;
  /** `null` if the refusal gives no time to return. */
  readonly retryAfterMs: number | null;
  /** Part of such requests that is sent all the same. */
  readonly sentAnyway: number;
  /** Steps that the request's own explanation would show. */
  readonly steps: readonly {
    readonly kind: string;
    readonly detail: Readonly<Record<string, unknown>>;
  }[];
}

/** Where a request would go, and why. */
export interface RouteExplanation {
  readonly service: string;
  readonly dataCentre: string;
  readonly route: string;
  readonly policy: string;
  readonly locality: string;
  readonly rank: number;
  readonly isNested: boolean;
  readonly timeLimitMs: number;
  readonly targetMs: number | null;
  readonly workers: readonly ExplainedWorker[];
  /** `null` where workers of all data centres are chosen alike. */
  readonly share: ExplainedShare | null;
  /**
   * Expected wait, averaged by probability, if the request is sent; `null` if
   * no worker may be chosen.
   */
  readonly expectedWaitMs: number | null;
  /** `null` if the entry would send the request. */
  readonly refusal: ExplainedRefusal | null;
}

/** What an explanation reads; nothing of it is changed. */
export interface ExplanationInputs {
  readonly options: SelectionOptions;
  readonly request: ServiceRequest;
  readonly profile: Profile;
  readonly serviceState: Pick<
    EntryServiceState,
    'spill' | 'capacityRefusals' | 'choiceCount'
  >;
}

/** Explains where a request would go at a time. */
export function buildRouteExplanation(
  inputs: ExplanationInputs,
  now: number,
): RouteExplanation {
  const {options, request, profile, serviceState} = inputs;
  const random = seedrandom(SEED);
  const refusal = findRefusal(inputs, random, now);
  const samples = runChoices(inputs, random, now);
  const context = createContext(inputs, samples.spill, random, now);
  const workers = describeWorkers(inputs, samples, context);
  const {deadline, targetAt, service, route, rank, isNested = false} = request;
  return {
    service,
    dataCentre: options.dataCentre,
    route,
    policy: profile.balancing,
    locality: profile.locality.mode,
    rank,
    isNested,
    timeLimitMs: Math.round(deadline - now),
    targetMs: targetAt === undefined ? null : Math.round(targetAt - now),
    workers,
    share: isOwnPreferred(profile)
      ? describeShare(serviceState.spill, samples, now)
      : null,
    expectedWaitMs: computeExpectedWait(workers),
    refusal,
  };
}

/** Finds out whether the entry would refuse, on a copy of its tables. */
function findRefusal(
  {options, request, profile, serviceState}: ExplanationInputs,
  random: () => number,
  now: number,
): ExplainedRefusal | null {
  const rows = selectCallRows(options, request.service, undefined, random);
  if (rows.length === 0)
    return describeRefusal(new RefusalError(Reason.NO_WORKER));
  // The part that is sent all the same is not drawn, but reported.
  let draw = (): number => 1;
  const refusals = serviceState.capacityRefusals.copy(() => draw());
  const explanations = new Explanations();
  const explainer = explanations.start(request);
  const call = refusals.start(request, profile, explainer);
  call?.selectRows(rows, now);
  if (!call?.refusal) return null;
  draw = random;
  const refusal = call.setReturnTime(call.refusal, now);
  const steps = explanations.find(request.id)?.steps ?? [];
  return describeRefusal(refusal, SENT_FRACTION, steps);
}

function describeRefusal(
  {reason, detail, retryAfterMs}: RefusalError,
  sentAnyway = 0,
  steps: ExplainedRefusal['steps'] = [],
): ExplainedRefusal {
  return {
    reason,
    detail,
    retryAfterMs: retryAfterMs ?? null,
    sentAnyway,
    steps: steps.map(step => ({kind: step.kind, detail: step.detail})),
  };
}

/** Chooses a worker for the request many times, each time from the same state. */
function runChoices(
  inputs: ExplanationInputs,
  random: () => number,
  now: number,
): ChoiceSamples {
  const {options, request, profile, serviceState} = inputs;
  const counts = new Map<WorkerRow, number>();
  const selected = new Set<WorkerRow>();
  let left = 0;
  let first: DataCentreSpill | undefined;
  for (let sample = 0; sample < SAMPLES; sample++) {
    const rows = selectCallRows(options, request.service, undefined, random);
    for (const row of rows) selected.add(row);
    const spill = serviceState.spill.copy();
    const context = createContext(inputs, spill, random, now);
    const row = chooseWorker(profile.balancing, rows, context);
    first ??= spill;
    if (!row) continue;
    counts.set(row, (counts.get(row) ?? 0) + 1);
    if (row.dataCentre !== options.dataCentre) left += 1;
  }
  return {counts, left, selected, spill: first!};
}

function createContext(
  {options, request, profile, serviceState}: ExplanationInputs,
  share: DataCentreSpill,
  random: () => number,
  now: number,
): ChoiceContext {
  const call = {
    request,
    profile,
    share,
    choiceCount: serviceState.choiceCount + 1,
    isFirst: true,
    wasRefusedAtHome: false,
  };
  return buildChoiceContext(options.dataCentre, call, random, now);
}

function describeWorkers(
  inputs: ExplanationInputs,
  samples: ChoiceSamples,
  context: ChoiceContext,
): ExplainedWorker[] {
  const {options, request, profile} = inputs;
  const rules = new ExclusionRules(inputs, samples, context);
  return options.workers
    .listWorkers(request.service)
    .map(row => {
      const {figures, at} = row.observed ?? {};
      const cost = computeCost(profile, row, context);
      return {
        node: row.target.nodeId,
        dataCentre: row.dataCentre,
        version: row.version,
        state: figures?.state ?? row.state,
        isSuspect: row.isSuspect,
        slots: row.slots,
        inFlightHere: row.inFlightHere,
        inFlight: figures?.inFlight ?? null,
        queued: figures?.queued ?? null,
        limit: figures?.limit ?? null,
        pace: figures?.pace ?? null,
        serviceMs: figures
          ? Math.round(figures.serviceTimeUs / US_PER_MS)
          : null,
        failureShare: figures?.failureShare ?? null,
        ageMs: at === undefined ? null : Math.round(context.now - at),
        cost: cost === undefined ? null : computeRounded(cost),
        waitMs: Math.round(computeWaitMs(row, context)),
        probability: (samples.counts.get(row) ?? 0) / SAMPLES,
        ruledOutBy: rules.find(row) ?? null,
      };
    })
    .sort(compareWorkers);
}

/** Puts the likeliest workers first. */
function compareWorkers(one: ExplainedWorker, other: ExplainedWorker): number {
  return (
    other.probability - one.probability || one.node.localeCompare(other.node)
  );
}

function describeShare(
  before: DataCentreSpill,
  {spill, left}: ChoiceSamples,
  now: number,
): ExplainedShare {
  const {updatedAt} = spill;
  return {
    before: computeRounded(before.share),
    share: computeRounded(spill.share),
    inputs: spill.describeInputs(),
    ageMs: updatedAt === undefined ? null : Math.round(now - updatedAt),
    leaves: left / SAMPLES,
  };
}

function computeExpectedWait(
  workers: readonly ExplainedWorker[],
): number | null {
  const candidates = workers.filter(({probability}) => probability > 0);
  if (candidates.length === 0) return null;
  const sum = candidates.reduce(
    (total, {probability, waitMs}) => total + probability * waitMs,
    0,
  );
  return Math.round(sum);
}

function computeRounded(value: number): number {
  return Math.round(value * PRECISION) / PRECISION;
}
