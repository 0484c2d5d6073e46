/**
 * The folded state of the platform log as this node knows it, with the
 * questions that the other layers ask of it.
 */
import Emittery from 'emittery';
import type {Configuration, Profile} from '../protocol/configuration.js';
import type {FoldedState, HomeList, Move} from './folded-state.js';
import {EMPTY_STATE} from './folded-state.js';

interface StateEvents {
  /** The folded state moved to a newer version. */
  changed: number;
}

/** Folded state of one node. */
export class StateStore {
  readonly events = new Emittery<StateEvents>();
  private folded: FoldedState = EMPTY_STATE;
  private configuration: Configuration | undefined;
  private confirmedAt = -Infinity;

  constructor(initial: Configuration | undefined) {
    this.configuration = initial;
  }

  /** The folded state as of now. */
  get current(): FoldedState {
    return this.folded;
  }

  /** Profile that a service picked; undefined for an unknown service. */
  findProfile(service: string): Profile | undefined {
    const picked = this.configuration?.services[service]?.profile;
    return picked === undefined
      ? undefined
      : this.configuration?.profiles[picked];
  }

  /** Names of the services that are configured. */
  listServices(): string[] {
    return Object.keys(this.configuration?.services ?? {});
  }

  /** Whether operators took a data centre out. */
  isDataCentreOut(dataCentre: string): boolean {
    return this.folded.dataCentres[dataCentre]?.isOut ?? false;
  }

  /** The newest move of a service, ended or not. */
  findMove(service: string): Move | undefined {
    return this.folded.moves[service];
  }

  /** Home lists of a service in order of epochs; the last is in force. */
  listHomeLists(service: string): readonly HomeList[] {
    return this.folded.homeLists[service] ?? [];
  }

  /**
   * Age in milliseconds of the newest proof that this node had read the log to
   * its tail; infinite when it never had.
   */
  computeLogAgeMs(): number {
    return performance.now() - this.confirmedAt;
  }

  /** Notes a proof, of this node or relayed by a peer, of the given age. */
  recordLogConfirmation(ageMs: number): void {
    const at = performance.now() - ageMs;
    this.confirmedAt = Math.max(this.confirmedAt, at);
  }
}
