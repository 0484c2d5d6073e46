/**
 * Entries and workers of one service in several data centres, on a virtual
 * clock in steps of 10 ms. Workers serve in order of arrival; load reports are
 * as often as those of nodes.
 */
import seedrandom from 'seedrandom';
import {DataCentreSpill} from '../../coordination/routing/data-centre-spill.js';
import {chooseWorker} from '../../coordination/routing/worker-choice.js';
import type {WorkerLoad} from '../../protocol/worker-load.js';
import type {WorkerRow} from '../../state/worker-table.js';
import {recordLoad} from '../../state/worker-table.js';

const TICK_MS = 10;
const NEAR_REPORT_MS = 60;
const FAR_REPORT_MS = 500;
const SERVICE_TIME_MS = 100;
const SLOTS = 6;
export const IDLE: WorkerLoad = {
  state: 'ready',
  inFlight: 0,
  queued: 0,
  limit: SLOTS,
  serviceTimeUs: 30_000,
  failureShare: 0,
  pace: 1,
};

/** A data centre with its demand, in requests per second. */
export interface LoopSite {
  readonly name: string;
  readonly workers: number;
  readonly entries: number;
  readonly demand: number;
}

interface LoopWorker {
  readonly dataCentre: string;
  readonly endTimes: number[];
  readonly waiting: number[];
  served: number;
  waitedMs: number;
}

/** Figures of one site over a period. */
export interface SiteOutcome {
  requests: number;
  left: number;
  /** Share at one entry of the site, at each tick. */
  readonly shares: number[];
}

/** Creates the row of a worker of which nothing is known yet. */
export function createSpillRow(dataCentre: string, index: number): WorkerRow {
  const nodeId = `${dataCentre}-${index}`;
  return {
    target: {nodeId, incarnation: 1, peerAddress: nodeId},
    dataCentre,
    service: 'service',
    version: 'v1',
    slots: SLOTS,
    state: 'ready',
    isSuspect: false,
    inFlightHere: 0,
    observed: undefined,
  };
}

/** Runs the loop for a time; may be run further, with other demand. */
export class SpillLoop {
  readonly random = seedrandom('1');
  readonly workers: LoopWorker[] = [];
  outcomes = new Map<string, SiteOutcome>();
  now = 0;
  private readonly entries;

  constructor(
    readonly sites: readonly LoopSite[],
    private readonly farCostMs = 12,
  ) {
    for (const {name, workers} of sites) {
      for (let count = 0; count < workers; count++) {
        this.workers.push({
          dataCentre: name,
          endTimes: [],
          waiting: [],
          served: 0,
          waitedMs: 0,
        });
      }
    }
    this.entries = sites.flatMap(site =>
      Array.from({length: site.entries}, () => this.createEntry(site)),
    );
  }

  run(durationMs: number, demandFactor = 1): Map<string, SiteOutcome> {
    this.outcomes = new Map(
      this.sites.map(({name}) => [name, {requests: 0, left: 0, shares: []}]),
    );
    const until = this.now + durationMs;
    while (this.now < until) this.runTick(demandFactor);
    return this.outcomes;
  }

  private createEntry(site: LoopSite) {
    const rows = this.workers.map(({dataCentre}, index) =>
      createSpillRow(dataCentre, index),
    );
    const spill = new DataCentreSpill({
      service: 'service',
      count: () => {},
      report: undefined,
    });
    return {site, rows, spill};
  }

  private runTick(demandFactor: number): void {
    this.now += TICK_MS;
    for (const worker of this.workers) this.runWorker(worker);
    this.reportLoads();
    for (const {site, rows, spill} of this.entries) {
      const perTick =
        (demandFactor * site.demand * TICK_MS) / 1000 / site.entries;
      const outcome = this.outcomes.get(site.name)!;
      outcome.shares.push(spill.share);
      if (this.random() >= perTick) continue;
      const row = chooseWorker('paced', rows, {
        dataCentre: site.name,
        farCostMs: this.farCostMs,
        random: this.random,
        choiceCount: 0,
        now: this.now,
        spill: {
          share: spill,
          request: {
            isFirst: true,
            isNested: false,
            isLarge: false,
            wasRefusedAtHome: false,
            timeLeftMs: 1000,
          },
        },
      })!;
      outcome.requests += 1;
      if (row.dataCentre !== site.name) outcome.left += 1;
      this.workers[rows.indexOf(row)]!.waiting.push(this.now);
    }
  }

  private runWorker(worker: LoopWorker): void {
    const {endTimes, waiting} = worker;
    while (endTimes.length > 0 && endTimes[0]! <= this.now) endTimes.shift();
    while (endTimes.length < SLOTS && waiting.length > 0) {
      worker.waitedMs += this.now - waiting.shift()!;
      worker.served += 1;
      endTimes.push(this.now + SERVICE_TIME_MS);
    }
  }

  private reportLoads(): void {
    for (const {site, rows} of this.entries) {
      for (const [index, worker] of this.workers.entries()) {
        const isNear = worker.dataCentre === site.name;
        const intervalMs = isNear ? NEAR_REPORT_MS : FAR_REPORT_MS;
        if ((this.now + index * TICK_MS) % intervalMs !== 0) continue;
        const figures = {
          ...IDLE,
          inFlight: worker.endTimes.length,
          queued: worker.waiting.length,
        };
        recordLoad(rows[index]!, figures, this.now);
      }
    }
  }
}
