/** Workers and settings of an entry that explains a route, without a network. */
import type {Profile} from '../../protocol/configuration.js';
import {profileSchema} from '../../protocol/configuration.js';
import type {WorkerLoad} from '../../protocol/worker-load.js';
import type {StateStore} from '../../state/state-store.js';
import type {WorkerRow, WorkerTable} from '../../state/worker-table.js';
import {createSpillRow, IDLE} from './spill-loop.js';

/** With a service time of 100 ms a request waits longer than it may. */
const SERVICE_TIME_US = 100_000;
export const FULL: Partial<WorkerLoad> = {inFlight: 6, queued: 9};
/** Own workers come first, and the entry may refuse. */
export const PROFILE: Profile = profileSchema.parse({
  balancing: 'paced',
  locality: {mode: 'prefer-own'},
  refusals: {atEntry: true},
  limits: {queueWait: '2s'},
  hedging: {enabled: false},
});

/** What differs from an idle worker with recent figures. */
export interface RowChange {
  readonly figures?: Partial<WorkerLoad> | undefined;
  readonly row?: Partial<WorkerRow>;
}

/** Time of the figures on the virtual clock, unless given. */
export const NOW = 10_000;

/** Creates a worker with recent figures, idle unless changed. */
export function createRow(
  dataCentre: string,
  index: number,
  {figures, row}: RowChange = {},
  now = NOW,
): WorkerRow {
  const created = createSpillRow(dataCentre, index);
  const load = {...IDLE, serviceTimeUs: SERVICE_TIME_US, ...figures};
  return {
    ...created,
    state: load.state,
    observed: {figures: load, at: now - 50, inFlightHere: 0},
    ...row,
  };
}

/** Creates workers `home-0` to `home-3` and `away-0` to `away-3`. */
export function createRows(
  home: RowChange = {},
  away: RowChange = {},
  now = NOW,
): WorkerRow[] {
  return [0, 1, 2, 3].flatMap(index => [
    createRow('home', index, home, now),
    createRow('away', index, away, now),
  ]);
}

/**
 * Creates what an entry in `home` selects workers by: version `v1`, all but one
 * in the subset, and data centre `out` taken out.
 */
export function createOptions(rows: readonly WorkerRow[]) {
  return {
    dataCentre: 'home',
    state: {
      isDataCentreOut: (name: string) => name === 'out',
      findProfile: () => PROFILE,
    } as unknown as StateStore,
    workers: {
      listWorkers: () => rows,
      listNodes: () => [],
    } as unknown as WorkerTable,
    selectVersion: (service: string, all: readonly WorkerRow[]) =>
      all.filter(row => row.version === 'v1'),
    selectWorkers: (service: string, all: readonly WorkerRow[]) =>
      all.filter(
        row => row.version === 'v1' && row.target.nodeId !== 'home-99',
      ),
  };
}
