/**
 * Puts in force what operators wrote to the platform's store. An adapter reads
 * the records; what is refused or older than what is in force changes nothing,
 * so that a node never goes back to an earlier configuration.
 */
import type {Configuration} from '../protocol/configuration.js';
import type {StateStore} from '../state/state-store.js';

/** An order to move a service to another version. */
export interface MoveOrder {
  /** Names the order; a new order of the same service has another. */
  readonly moveId: string;
  readonly service: string;
  readonly toVersion: string;
  /** Time for the move from the moment of the order, in milliseconds. */
  readonly durationMs: number;
}

/** What operators want, as an adapter read it. */
export interface OperatorView {
  /** The configuration with its number; undefined when none is readable. */
  readonly configuration:
    {readonly number: number; readonly content: Configuration} | undefined;
  readonly dataCentresOut: ReadonlySet<string>;
  readonly moveOrders: readonly MoveOrder[];
}

/** Puts views in force. */
export class OperatorViews {
  private number = -1;
  private out: ReadonlySet<string> = new Set();

  constructor(
    private readonly state: StateStore,
    private readonly report: (
      text: string,
      context: Readonly<Record<string, string | number>>,
    ) => void,
  ) {}

  /** Puts what is newer in force. */
  apply({configuration, dataCentresOut}: OperatorView): void {
    if (configuration && configuration.number > this.number) {
      this.number = configuration.number;
      this.state.setConfiguration(configuration.content);
      this.report('configuration in force', {number: this.number});
    }
    const names = [...dataCentresOut].sort().join(' ');
    if (names === [...this.out].sort().join(' ')) return;
    this.out = dataCentresOut;
    this.state.setDataCentresOut(dataCentresOut);
    this.report('data centres out', {names});
  }
}
