/**
 * Exports the part of prom-client that a node uses. The package's entry point
 * also loads process statistics, a push client and cluster support.
 */
import Counter from 'prom-client/lib/counter.js';
import Gauge from 'prom-client/lib/gauge.js';
import Histogram from 'prom-client/lib/histogram.js';
import Registry from 'prom-client/lib/registry.js';

export {Counter, Gauge, Histogram, Registry};
