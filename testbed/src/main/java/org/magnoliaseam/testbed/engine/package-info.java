/** Holds the stand-in for a model engine with continuous batching, cold start and crashes. */
package org.magnoliaseam.testbed.engine;
