/** Routes by the host's longest path prefix, then splits by weight. */
import {describe, expect, it} from 'vitest';
import {RouteSplitter} from '../coordination/route-split.js';
import type {RouteRule} from '../protocol/configuration.js';
import {configurationSchema} from '../protocol/configuration.js';
import {RouteTable} from '../protocol/route-table.js';

function buildRules(
  routes: ReadonlyArray<Record<string, unknown>>,
): RouteRule[] {
  return configurationSchema.parse({
    profiles: {p: {}},
    services: {desk: {profile: 'p'}, archive: {profile: 'p'}},
    routes: routes.map(route => ({
      idempotent: true,
      timeLimit: '1s',
      targets: [{service: 'desk'}],
      ...route,
    })),
  }).routes;
}

describe('the route of a request', () => {
  const table = new RouteTable(
    buildRules([
      {name: 'root', host: 'one.example', pathPrefix: '/'},
      {name: 'long', host: 'one.example', pathPrefix: '/a/b/'},
      {name: 'short', host: 'one.example', pathPrefix: '/a/'},
      {name: 'other', host: 'two.example', pathPrefix: '/a/'},
    ]),
  );
  const cases = [
    {host: 'one.example', path: '/a/b/c', route: 'long'},
    {host: 'one.example', path: '/a/b/', route: 'long'},
    {host: 'one.example', path: '/a/b', route: 'short'},
    {host: 'one.example', path: '/a/x/y?z=/a/b/', route: 'short'},
    {host: 'one.example', path: '/a', route: 'root'},
    {host: 'ONE.example:8080', path: '/a/', route: 'short'},
    {host: 'two.example', path: '/a/1', route: 'other'},
    {host: 'two.example', path: '/b/1', route: undefined},
    {host: 'two.example', path: '*', route: undefined},
    {host: 'three.example', path: '/a/', route: undefined},
    {host: '', path: '/a/', route: undefined},
  ];
  it.each(cases)('$host $path: $route', ({host, path, route}) => {
    expect(table.find(host, path)?.name).toBe(route);
  });
});

describe('the split of a route', () => {
  const cases = [
    {weights: [1], requests: 7, counts: [7]},
    {weights: [90, 10], requests: 100, counts: [90, 10]},
    {weights: [1, 2], requests: 9, counts: [3, 6]},
    {weights: [50, 50], requests: 3, counts: [2, 1]},
  ];
  it.each(cases)('$weights over $requests', ({weights, requests, counts}) => {
    const services = ['desk', 'archive'];
    const [rule] = buildRules([
      {
        name: 'r',
        host: 'h',
        pathPrefix: '/',
        targets: weights.map((weight, index) => ({
          service: services[index],
          weight,
        })),
      },
    ]);
    const splitter = new RouteSplitter(() => 0);
    const seen = weights.map(() => 0);
    for (let index = 0; index < requests; index++) {
      seen[services.indexOf(splitter.chooseService(rule!))]! += 1;
    }
    expect(seen).toEqual(counts);
  });

  it('restarts when the weights change', () => {
    const targets = [{service: 'desk'}, {service: 'archive', weight: 3}];
    const base = {name: 'r', host: 'h', pathPrefix: '/'};
    const [before] = buildRules([base]);
    const [after] = buildRules([{...base, targets}]);
    const splitter = new RouteSplitter(() => 0);
    expect(splitter.chooseService(before!)).toBe('desk');
    const chosen = [1, 2, 3, 4].map(() => splitter.chooseService(after!));
    expect(chosen.filter(service => service === 'archive')).toHaveLength(3);
  });
});
