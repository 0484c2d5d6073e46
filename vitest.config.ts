/**
 * Test runner settings. Tests that start real processes share the machine, so
 * files run a few at a time and the limits are generous: a test waits for a
 * condition and never for a time.
 */
import {defineConfig} from 'vitest/config';

const TEST_LIMIT_MS = 120_000;

export default defineConfig({
  test: {
    include: ['src/test/**/*_test.ts', 'platform/test/**/*_test.ts'],
    testTimeout: TEST_LIMIT_MS,
    hookTimeout: TEST_LIMIT_MS,
    pool: 'forks',
    poolOptions: {forks: {maxForks: 4, minForks: 1}},
  },
});
