/**
 * Output of `npm start`: how to call the deployment, and a status line that is
 * refreshed while it runs.
 */
import type {LocalDeployment} from './local-deployment.js';
import {readUpstreamStats} from './run-check.js';

const REFRESH_MS = 1000;

interface Totals {
  readonly atMs: number;
  readonly requests: number;
  readonly probes: number;
  readonly refusals: number;
  readonly nodes: number;
}

/** Describes how to call a deployment and how to operate it. */
export function describeDeployment(deployment: LocalDeployment): string {
  const [first, second] = deployment.hosts;
  const entry = first!.callerAddress;
  const service = first!.spec.service;
  const upload = deployment.hosts.at(-1)!.spec.service;
  const {logAddress, name} = deployment.spec;
  const log = `--log ${logAddress} --log-name ${name}`;
  const control = `node dist/bin/ctl.js ${log} --node ${entry}`;
  const lines = [
    `${deployment.hosts.length} workers, each with its node:`,
    ...deployment.hosts.map(
      ({spec, callerAddress}) =>
        `  ${spec.id} in ${spec.dataCentre}: node http://${callerAddress}`,
    ),
    '',
    'Call any service through any node:',
    `  curl -i http://${entry}/${service}/tickets/42`,
    `  curl -i http://${(second ?? first)!.callerAddress}/${service}/bookings \\`,
    "    -H 'Idempotency-Key: booking-1' -H 'X-Client-Id: mender-7' -d '{}'",
    `  head -c 3000000 /dev/urandom | curl -i -T - http://${entry}/${upload}/photos/1`,
    '',
    'Operate it:',
    `  ${control} status`,
    `  ${control} data-centre out ${first!.spec.dataCentre}`,
    '  node dist/bin/ctl.js --help',
    '',
    'Stop with Ctrl-C.',
  ];
  return lines.join('\n');
}

/** Writes a new status line every second until the signal aborts. */
export async function watchStatus(
  deployment: LocalDeployment,
  write: (line: string) => void,
  signal: AbortSignal,
): Promise<void> {
  let last = await readTotals(deployment);
  while (!signal.aborted) {
    await wait(REFRESH_MS, signal);
    if (signal.aborted) return;
    const now = await readTotals(deployment);
    write(formatStatus(last, now));
    last = now;
  }
}

function formatStatus(last: Totals, now: Totals): string {
  const seconds = (now.atMs - last.atMs) / 1000;
  const formatRate = (name: 'requests' | 'probes' | 'refusals'): string =>
    ((now[name] - last[name]) / seconds).toFixed(1);
  return [
    `nodes ${now.nodes}`,
    `requests ${now.requests} (${formatRate('requests')}/s)`,
    `refusals ${now.refusals} (${formatRate('refusals')}/s)`,
    `probes ${formatRate('probes')}/s`,
  ].join(' | ');
}

async function readTotals(deployment: LocalDeployment): Promise<Totals> {
  const counts = [...(await readUpstreamStats(deployment)).values()];
  const statuses = await Promise.allSettled(
    deployment.hosts.map(host => host.readStatus()),
  );
  const found = statuses.flatMap(status =>
    status.status === 'fulfilled' ? [status.value] : [],
  );
  const sum = (values: readonly number[]): number =>
    values.reduce((total, value) => total + value, 0);
  return {
    atMs: performance.now(),
    requests: sum(counts.map(({requests}) => requests)),
    probes: sum(counts.map(({probes}) => probes)),
    refusals: sum(
      found.flatMap(({counters}) =>
        Object.entries(counters)
          .filter(([name]) => name.startsWith('refusals.'))
          .map(([, value]) => value),
      ),
    ),
    nodes: found.length,
  };
}

function wait(ms: number, signal: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    const timer = setTimeout(resolve, ms);
    signal.addEventListener(
      'abort',
      () => {
        clearTimeout(timer);
        resolve();
      },
      {once: true},
    );
  });
}
