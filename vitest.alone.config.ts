/**
 * Test runner settings for tests that measure a process: one at a time, and
 * after all others, so that no other load is beside them.
 */
import {defineConfig} from 'vitest/config';

const TEST_LIMIT_MS = 240_000;

export default defineConfig({
  test: {
    include: ['platform/test/alone/**/*_test.ts'],
    testTimeout: TEST_LIMIT_MS,
    hookTimeout: TEST_LIMIT_MS,
    pool: 'forks',
    poolOptions: {forks: {singleFork: true}},
  },
});
