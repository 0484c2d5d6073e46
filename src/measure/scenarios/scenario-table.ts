/**
 * All scenarios by name.
 */
import {readMachineLoad} from '../machine.js';
import {addedLatencyScenario} from './added-latency.js';
import {noFaultScenario, slowWorkerScenario} from './balancing.js';
import {allFailingScenario, coldStartScenario} from './failing.js';
import {unfairCallerScenario} from './fairness.js';
import {heavyDayScenario} from './heavy-day.js';
import {logOutageScenario} from './log-outage.js';
import {
  binariesScenario,
  probeCostScenario,
  slopesScenario,
} from './node-cost.js';
import {dataCentreScenario, inForceScenario} from './operations.js';
import type {Scenario, ScenarioOptions, ScenarioReport} from './scenario.js';
import {versionMoveScenario} from './version-move.js';

/** Scenarios by the name used on the command line. */
export const SCENARIOS: Readonly<Record<string, Scenario>> = {
  'slow-worker': slowWorkerScenario,
  'no-fault': noFaultScenario,
  'unfair-caller': unfairCallerScenario,
  'cold-start': coldStartScenario,
  'all-failing': allFailingScenario,
  'added-latency': addedLatencyScenario,
  'probe-cost': probeCostScenario,
  'heavy-day': heavyDayScenario,
  'log-outage': logOutageScenario,
  'data-centre-out-and-back': dataCentreScenario,
  'version-move': versionMoveScenario,
  'in-force': inForceScenario,
  binaries: binariesScenario,
  slopes: slopesScenario,
};

/** Runs a scenario and adds the options and the machine load to its results. */
export async function runScenario(
  name: string,
  options: ScenarioOptions,
): Promise<ScenarioReport> {
  const scenario = SCENARIOS[name];
  if (!scenario) throw new Error(`unknown scenario ${name}`);
  const before = readMachineLoad();
  const findings = await scenario.run(options);
  return {
    scenario: name,
    deployment: options.file.deployment.name,
    seed: options.seed,
    seconds: options.seconds,
    ratePerSecond: options.ratePerSecond,
    machine: {before, after: readMachineLoad()},
    ...findings,
  };
}
