/* global setTimeout, console */
/**
 * Runs one case: writes record.txt in its folder, ends all processes that it
 * started, and exits with 1 if the rule was broken, 0 if it held and 2 if the
 * case could not run.
 */
import {dirname, join} from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {Deployment, Record} from './deployment.js';

const TIME_LIMIT_MS = 110_000;

/** Whether the disruption takes place. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/**
 * @param url `import.meta.url` of the case.
 * @param options of the deployment.
 * @param play gets the deployment and the record; returns the breaches.
 */
export async function runCase(url, options, play) {
  const record = new Record(join(dirname(fileURLToPath(url)), 'record.txt'));
  const deployment = new Deployment({...options, record});
  const end = status => {
    for (const {child} of deployment.hosts) child?.kill('SIGKILL');
    record.add(`exit ${status}`);
    record.save();
    process.exit(status);
  };
  process.on('SIGTERM', () => end(2));
  process.on('SIGINT', () => end(2));
  setTimeout(() => {
    record.add('the case took too long');
    end(2);
  }, TIME_LIMIT_MS).unref();
  let status = 2;
  try {
    await deployment.start();
    record.add(`deployment ready; trouble: ${HAS_TROUBLE}`);
    const breaches = await play(deployment, record);
    for (const breach of breaches) record.add(`BREACH ${breach}`);
    console.log(
      breaches.length > 0
        ? `broken: ${breaches[0]} (${breaches.length})`
        : 'held',
    );
    status = breaches.length > 0 ? 1 : 0;
  } catch (error) {
    record.add(`could not run: ${error.stack}`);
    console.log(`could not run: ${error.message}`);
  }
  await Promise.race([
    deployment.stop().catch(() => {}),
    new Promise(resolve => setTimeout(resolve, 5000)),
  ]);
  end(status);
}
