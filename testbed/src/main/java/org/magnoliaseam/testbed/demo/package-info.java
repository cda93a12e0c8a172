/** Demonstrates a small site with one chat request and one order. */
package org.magnoliaseam.testbed.demo;
