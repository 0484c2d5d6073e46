/**
 * Applies the desired state that operators write to the platform's store. An
 * adapter reads the records. A configuration that is invalid or not newer than
 * the one in force is ignored, so that a node never returns to an earlier one.
 */
import type {Configuration} from '../protocol/configuration.js';
import type {StateStore} from '../state/state-store.js';

/** An order to move a service to another version. */
export interface MoveOrder {
  /**
   * Identifies the order; each new order for a service has another id. The same
   * order has another id after a restored store got it again at another offset.
   */
  readonly moveId: string;
  /** Era of the store in which the order was last read. */
  readonly era: number;
  readonly service: string;
  readonly toVersion: string;
  /** Time for the whole move, starting at the order, in milliseconds. */
  readonly durationMs: number;
}

/** Desired state of the deployment, as an adapter read it from the store. */
export interface DesiredState {
  /** Newest valid configuration; undefined when there is none. */
  readonly configuration:
    {readonly number: number; readonly content: Configuration} | undefined;
  readonly dataCentresOut: ReadonlySet<string>;
  readonly moveOrders: readonly MoveOrder[];
}

/** Applies each desired state to the state of a node. */
export class DesiredStateApplier {
  private number = -1;
  private out: ReadonlySet<string> = new Set();

  constructor(
    private readonly state: StateStore,
    private readonly report: (
      text: string,
      context: Readonly<Record<string, string | number>>,
    ) => void,
  ) {}

  /**
   * Applies a newer configuration and a changed set of data centres.
   *
   * @param isRebuilt whether the configuration in force was built anew from the
   *     same records, for other settings.
   */
  apply(
    {configuration, dataCentresOut}: DesiredState,
    isRebuilt = false,
  ): void {
    const lowest = isRebuilt ? this.number : this.number + 1;
    if (configuration && configuration.number >= lowest) {
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
