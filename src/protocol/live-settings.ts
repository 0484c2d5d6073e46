/**
 * Settings of a running node whose file may change. The parts of a node share
 * one object and read each value when they use it, so that a change applies to
 * what begins after it. Values that a running process can't change keep those of
 * its start.
 */
import type {DirectorySettings} from './directory-settings.js';

/** When a changed value of the settings file applies. */
export const AppliesWhen = {
  /** The node does something when the value changes. */
  AT_ONCE: 'at once',
  /** What begins later uses the new value. */
  NEXT_USE: 'next use',
  /** The process has to be started again. */
  RESTART: 'restart',
} as const;

export type AppliesWhen = (typeof AppliesWhen)[keyof typeof AppliesWhen];

type ApplicationTable = {
  readonly [Table in keyof DirectorySettings]: {
    readonly [Key in keyof Required<DirectorySettings[Table]>]: AppliesWhen;
  };
};

const {AT_ONCE, NEXT_USE, RESTART} = AppliesWhen;

/** When each value applies; docs/operators/changed-settings.md says why. */
export const SETTING_APPLICATION: ApplicationTable = {
  node: {
    id: RESTART,
    dataCentre: RESTART,
    service: NEXT_USE,
    callerAddress: RESTART,
    peerAddress: RESTART,
    beaconAddress: RESTART,
    readinessAddress: RESTART,
    reportAddress: RESTART,
    metricsAddress: RESTART,
    upstreamAddress: NEXT_USE,
  },
  store: {address: RESTART, timeLimit: AT_ONCE, pollWait: NEXT_USE},
  limits: {
    retryRatio: AT_ONCE,
    retryExtra: AT_ONCE,
    trialShare: AT_ONCE,
    probesPerSecond: AT_ONCE,
    grace: AT_ONCE,
    reportInterval: NEXT_USE,
    heldPerConnection: AT_ONCE,
    heldPerNode: AT_ONCE,
    processMemoryMb: AT_ONCE,
    processDescriptors: AT_ONCE,
  },
  scheduling: {demandAware: AT_ONCE},
  logging: {level: AT_ONCE},
};

type SettingValue = string | number | boolean | undefined;
type SettingTables = Record<string, Record<string, SettingValue>>;

/** A value that differs between the file and what is in force. */
export interface SettingChange {
  /** Table and key, such as `node.service`. */
  readonly key: string;
  readonly inForce: SettingValue;
  readonly inFile: SettingValue;
  readonly applies: AppliesWhen;
}

/** The settings in force. */
export class LiveSettings {
  /** Read its values at each use; they change with the file. */
  readonly current: DirectorySettings;

  constructor(started: DirectorySettings) {
    this.current = structuredClone(started);
  }

  /** Applies what can be applied, and returns all differences from before. */
  update(inFile: DirectorySettings): SettingChange[] {
    const current = this.current as unknown as SettingTables;
    const read = inFile as unknown as SettingTables;
    const changes: SettingChange[] = [];
    for (const [table, keys] of Object.entries(SETTING_APPLICATION)) {
      for (const [key, applies] of Object.entries(keys)) {
        const values = {
          inForce: current[table]![key],
          inFile: read[table]![key],
        };
        if (values.inForce === values.inFile) continue;
        changes.push({key: `${table}.${key}`, applies, ...values});
        if (applies !== RESTART) current[table]![key] = values.inFile;
      }
    }
    return changes;
  }
}
