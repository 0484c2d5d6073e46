/**
 * Applies changes of the settings file to a running node, and logs each of them.
 * A file that can't be read, or has a fault, changes nothing.
 */
import type {NodeAdapter} from './node-adapter.js';
import type {NodeStop} from './node-stop.js';
import type {DirectoryRecords} from './directory-records.js';
import type {DirectorySettings} from './protocol/directory-settings.js';
import type {LiveSettings, SettingChange} from './protocol/live-settings.js';
import {AppliesWhen} from './protocol/live-settings.js';
import {formatKeyPath} from './protocol/settings.js';
import {computeGraceLimits} from './stop-limits.js';
import type {HeldBudget} from './transport/limits/held-budget.js';
import type {Logger} from './transport/logger.js';
import type {Metrics} from './transport/metrics.js';

/** Parts of a node that keep values of the settings. */
export interface ReloadedParts {
  readonly logger: Logger;
  readonly metrics: Pick<Metrics, 'recordWaitingSettings'>;
  readonly records: Pick<DirectoryRecords, 'refresh'>;
  readonly heldBudget: Pick<HeldBudget, 'refreshLimits'>;
  readonly plannedStop: Pick<NodeStop, 'setLimits'>;
  readonly adapter: Pick<NodeAdapter, 'refreshStore'>;
}

type ApplySettings = (
  parts: ReloadedParts,
  settings: DirectorySettings,
) => void;

const refreshProfiles: ApplySettings = ({records}) => records.refresh();
const refreshHeldLimits: ApplySettings = ({heldBudget}, {limits}) =>
  heldBudget.refreshLimits(limits);
const setStopLimits: ApplySettings = ({plannedStop}, {limits}) =>
  plannedStop.setLimits(computeGraceLimits(limits.grace));
const refreshStore: ApplySettings = ({adapter}) => adapter.refreshStore();
const setLogLevel: ApplySettings = ({logger}, {logging}) =>
  logger.setLevel(logging.level);

/** What is done for each value that applies at once. */
export const APPLY_BY_KEY: Readonly<Record<string, ApplySettings>> = {
  'store.timeLimit': refreshStore,
  'limits.retryRatio': refreshProfiles,
  'limits.retryExtra': refreshProfiles,
  'limits.trialShare': refreshProfiles,
  'limits.probesPerSecond': refreshProfiles,
  'limits.grace': setStopLimits,
  'limits.heldPerConnection': refreshHeldLimits,
  'limits.heldPerNode': refreshHeldLimits,
  'limits.processMemoryMb': refreshHeldLimits,
  'limits.processDescriptors': refreshHeldLimits,
  'scheduling.demandAware': refreshProfiles,
  'logging.level': setLogLevel,
};

/** Reads the settings file of a node again. */
export class SettingsReload {
  constructor(
    private readonly settings: LiveSettings,
    private readonly parts: ReloadedParts,
  ) {}

  /** Applies the settings that `readSettings` returns; it may throw. */
  apply(readSettings: () => DirectorySettings): void {
    const {settings, parts} = this;
    let changes: SettingChange[];
    try {
      changes = settings.update(readSettings());
    } catch (error) {
      parts.logger.write('warn', 'settings not read', {error: String(error)});
      return;
    }
    const isSame = Number(changes.length === 0);
    parts.logger.write('info', 'settings read again', {isSame});
    for (const change of changes) this.logChange(change);
    const functions = new Set(changes.map(({key}) => APPLY_BY_KEY[key]));
    for (const apply of functions) apply?.(parts, settings.current);
    const waiting = changes.filter(
      ({applies}) => applies === AppliesWhen.RESTART,
    );
    parts.metrics.recordWaitingSettings(waiting.length);
  }

  private logChange({key, inForce, inFile, applies}: SettingChange): void {
    const {logger} = this.parts;
    const context = {
      key: formatKeyPath(key.split('.')),
      from: inForce ?? 'none',
      to: inFile ?? 'none',
      applies,
    };
    if (applies === AppliesWhen.RESTART)
      logger.write('warn', 'setting needs a restart', context);
    else logger.write('info', 'setting changed', context);
  }
}
