/** The workers among which the entry of a directory node chooses. */
import type {EntryOptions} from './coordination/entry.js';
import type {Gate} from './coordination/gate.js';
import {isOwnPreferred} from './coordination/routing/call-choice.js';
import {WorkerSubset} from './coordination/routing/worker-subset.js';
import type {VersionMoves} from './coordination/version-moves.js';
import type {StateStore} from './state/state-store.js';
import type {WorkerRow, WorkerTable} from './state/worker-table.js';

/** Selects the subsets of one node by the profiles of the services. */
export class DirectorySubset {
  private readonly subset: WorkerSubset;

  constructor(
    node: {readonly id: string; readonly dataCentre: string},
    private readonly state: StateStore,
    private readonly workers: WorkerTable,
  ) {
    this.subset = new WorkerSubset(node.id, node.dataCentre);
  }

  /** Builds the selection of an entry from the workers that moves allow. */
  buildSelection(
    findMoves: () => VersionMoves,
  ): Required<Pick<EntryOptions, 'selectWorkers' | 'selectVersion'>> {
    const selectVersion: EntryOptions['selectWorkers'] = (...choice) =>
      findMoves().selectWorkers(...choice);
    return {
      selectVersion,
      selectWorkers: (service, rows, random) =>
        this.subset.select(
          selectVersion(service, rows, random),
          this.isOwnPreferred(service),
        ),
    };
  }

  /** Lists the subsets of all services, which get load figures. */
  list(): WorkerRow[] {
    return this.subset.list(this.workers, {
      isOwnPreferred: service => this.isOwnPreferred(service),
      isDataCentreOut: name => this.state.isDataCentreOut(name),
    });
  }

  /** Whether own workers come first for all services of a gate. */
  isOwnPreferredAt(gate: Gate): boolean {
    const services = gate.listWorkers();
    return services.every(({service}) => this.isOwnPreferred(service));
  }

  private isOwnPreferred(service: string): boolean {
    const profile = this.state.findProfile(service);
    return profile !== undefined && isOwnPreferred(profile);
  }
}
