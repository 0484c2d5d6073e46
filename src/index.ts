/**
 * Library entry point: exports schemas, header names, verdicts and reasons for
 * programs that send requests through sequoiaspool or validate its settings.
 */
export * from './protocol/configuration.js';
export * from './protocol/headers.js';
export * from './protocol/reasons.js';
export * from './protocol/verdict.js';
